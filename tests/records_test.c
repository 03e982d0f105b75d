/*
 * Records and frames of the version in production, written down in its format, read by this one;
 * and what this one writes, held against a statement of what that version's reader accepts.
 */
#include "../src/core/internal.h"
#include "check.h"
#include "codec.h"
#include "outage_vote.h"

/* As production wrote them: an array under way, a gang as it knew them, one that is withdrawn. */
static const char array_job[] =
    "{\"ph\":\"running\",\"at\":1764642032.1234567,\"cl\":\"accrual-batch\",\"tm\":\"ledger-ops-"
    "03\","
    "\"sv\":false,\"ti\":2,\"n\":40,\"c\":4.0,\"g\":0.0,\"m\":17.0,\"im\":\"img-0007\","
    "\"gb\":1.2000000000000000,\"ty\":[\"std16\",\"std32\"],\"z\":\"\",\"fl\":4,\"e\":61.5,\"ck\":"
    "0.0,"
    "\"sa\":0.0,\"dl\":133.0,\"p\":[[41,\"huye\",\"n-0000\",\"31#5=20-22,30;32=23;40/2#9=24\"],"
    "[41,\"nyarugenge\",\"n-00005\",\"5#5=25-29\"],[57,\"huye\",\"n-00009\",\"1#1=31\"]],"
    "\"d\":\"0-19,33,\",\"nd\":21,\"nr\":12}";
static const char gang_job[] =
    "{\"ph\":\"queued\",\"at\":1.5,\"cl\":\"c\",\"tm\":\"t\",\"sv\":false,\"ti\":1,\"n\":3,\"c\":2."
    "0,"
    "\"g\":0.0,\"m\":12.8,\"im\":\"i\",\"gb\":1.0,\"ty\":[],\"z\":\"huye\",\"fl\":9,\"e\":30.0,"
    "\"ck\":20.0,\"sa\":3.0,\"dl\":-1.0}";
static const char old_rental[] =
    "{\"ty\":\"std16\",\"z\":\"huye\",\"sp\":true,\"n\":3,\"got\":true,"
    "\"h\":[\"n-000100\",\"n-000101\",\"n-000102\"]}";
static const char old_chunk[] =
    "{\"im\":[\"img-1\",\"img-2\"],\"m\":[[\"n-000001\",\"10.1.0.1\",9000,\"std16\",\"huye\",false,"
    "1,"
    "[0,1]],[\"n-000002\",\"10.1.0.2\",9000,\"std16\",\"huye\",true,3,[1]]]}";
static const char old_types[] = "[[\"std16\",16.0,0.0,128.0,80.0,0.4,0.91,0.41,35.0,[\"huye\"]]]";

/* What production's reader of job records asks for: these fields, of these types. */
static bool old_reads_job(json_t *v)
{
	static const char *const need[] = {"ph:s", "at:f", "cl:s", "tm:s", "sv:b", "ti:i", "n:i",
					   "c:f",  "g:f",  "m:f",  "im:s", "gb:f", "ty:a", "z:s",
					   "fl:i", "e:f",  "ck:f", "sa:f", "dl:f"};
	static const char *const phases = " queued running done withdrawn ";
	json_t *e, *p = json_object_get(v, "p"), *d = json_object_get(v, "d");
	char name[8], phase[32];
	size_t i;

	for (i = 0; i < sizeof(need) / sizeof(need[0]); i++) {
		const char *colon = strchr(need[i], ':');

		snprintf(name, sizeof(name), "%.*s", (int)(colon - need[i]), need[i]);
		e = json_object_get(v, name);
		if (!(colon[1] == 's'	? json_is_string(e)
		      : colon[1] == 'f' ? json_is_number(e)
		      : colon[1] == 'b' ? json_is_boolean(e)
		      : colon[1] == 'i' ? json_is_integer(e)
					: json_is_array(e)))
			return false;
	}
	snprintf(phase, sizeof(phase), " %s ", json_string_value(json_object_get(v, "ph")));
	if (!strstr(phases, phase) || (d && !json_is_string(d)) || (p && !json_is_array(p)))
		return false;
	json_array_foreach (p, i,
			    e) { /* [term, zone, shared, "rest[/tenure][#number]=1-3,5;..."] */
		const char *t = json_string_value(json_array_get(e, 3));
		bool named = false;

		if (json_array_size(e) != 4 || !json_is_integer(json_array_get(e, 0)) ||
		    !json_is_string(json_array_get(e, 1)) ||
		    !json_is_string(json_array_get(e, 2)) || !t || !*t)
			return false;
		for (const char *q = t; *q;) {
			size_t n = strcspn(q, "/#=;");

			if (!n)
				return false;
			q += n;
			if (*q == '/')
				q += 1 + strspn(q + 1, "0123456789");
			if (*q == '#') {
				named = true;
				q += 1 + strspn(q + 1, "0123456789");
			}
			if (*q != '=' || !named || !strspn(q + 1, "0123456789"))
				return false;
			q += 1 + strspn(q + 1, "0123456789-,");
			if (*q && *q != ';')
				return false;
			q += *q == ';';
		}
	}
	return true;
}

static bool assigned(const struct ws_assigned *l, size_t n, const char *machine, uint32_t task,
		     uint64_t attempt, uint64_t tenure)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(l[i].machine, machine) && l[i].task == task && l[i].tenure == tenure &&
		    l[i].attempt == attempt)
			return true;
	return false;
}

static void read_jobs(void)
{
	json_t *v = json_loads(array_job, 0, NULL);
	struct ws_job *j = ws_record_read_job("job-000001", v);
	struct ws_assigned *l;
	size_t n;

	check("the statement holds for production's own", old_reads_job(v));
	check("an array's record reads", j && j->phase == WS_RUNNING && j->spec.tasks == 40 &&
					     j->ndone == 21 && j->tasks[33].saved &&
					     !j->tasks[20].done && j->spec.spot && !j->spec.gang &&
					     j->spec.ntypes == 2 && j->spec.deadline_s == 133);
	n = ws_record_read_assigned(v, &l);
	check("all its attempts", n == 12);
	check("a range", assigned(l, n, "n-000031", 21, (41ULL << 24) + 5, 1));
	check("a list", assigned(l, n, "n-000031", 30, (41ULL << 24) + 5, 1));
	check("the number of the one before", assigned(l, n, "n-000032", 23, (41ULL << 24) + 5, 1));
	check("a tenure", assigned(l, n, "n-000040", 24, (41ULL << 24) + 9, 2));
	check("another term", assigned(l, n, "n-000091", 31, (57ULL << 24) + 1, 1));
	free(l);
	check("withdrawn, and still readable for it",
	      ws_record_withdraw(v) && old_reads_job(v) && ws_record_pieces(v) == 0);
	json_decref(v);
	if (j) {
		free(j->tasks);
		free(j);
	}
	v = json_loads(gang_job, 0, NULL);
	j = ws_record_read_job("job-000002", v);
	check("a gang's record reads", j && j->spec.gang && j->spec.one_zone && !j->spec.spread &&
					   j->phase == WS_QUEUED && j->spec.checkpoint_s == 20 &&
					   !strcmp(j->spec.zone, "huye"));
	json_decref(v);
	v = j ? ws_record_spec(&j->spec, WS_QUEUED, 1.5) : NULL;
	check("and is written as production reads it", v && old_reads_job(v));
	json_object_del(v, "fl");
	check("the statement sees a missing field", v && !old_reads_job(v));
	json_decref(v);
	if (j) {
		free(j->tasks);
		free(j);
	}
}

/* A record of 16 KiB's time: 400 attempts on as many machines, withdrawn under a limit of 2 KiB. */
static void split(void)
{
	json_t *v = json_loads(array_job, 0, NULL), *pieces[8];
	char text[8192];
	size_t len = 0, n, total;
	struct ws_assigned *l;

	for (int i = 0; i < 400; i++)
		len += (size_t)snprintf(text + len, sizeof(text) - len, "%s%03d%s=%d", i ? ";" : "",
					i, i ? "" : "#7", i);
	json_object_set_new(v, "n", json_integer(400));
	json_object_set_new(v, "p", json_pack("[[i,s,s,s]]", 41, "huye", "n-000", text));
	check("a large record of production reads", ws_record_read_assigned(v, &l) == 400);
	free(l);
	ws_record_withdraw(v);
	ws_record_split(v, 2000, pieces, 7, &n);
	check("it is split", n >= 1 && n <= 3 && ws_record_pieces(v) == n);
	check("its own record fits and reads", ws_record_size(v) <= 2000 && old_reads_job(v));
	total = ws_record_read_assigned(v, &l);
	check("the first attempt is in it",
	      assigned(l, total, "n-000000", 0, (41ULL << 24) + 7, 1));
	free(l);
	for (size_t i = 0; i < n; i++) {
		size_t k = ws_record_read_assigned(pieces[i], &l);

		check("a piece fits", ws_record_size(pieces[i]) <= 2000);
		if (i + 1 == n)
			check("the last attempt is in the last",
			      assigned(l, k, "n-000399", 399, (41ULL << 24) + 7, 1));
		total += k;
		free(l);
		json_decref(pieces[i]);
	}
	check("no attempt is lost", total == 400);
	json_decref(v);
}

static struct ws_settings settings = {.node = "n",
				      .report_s = 2,
				      .lease_s = 16,
				      .state_rps = 250,
				      .state_write_rps = 35,
				      .value_kb = 2,
				      .txn_ops = 4,
				      .zones = {"huye"},
				      .nzones = 1};

static void others(void)
{
	struct ws_policy p;
	struct ws_rental r = {0};
	struct ws_type t[WS_MAX_TYPES];
	struct ws_core *c;
	struct ws_machine *m;
	json_t *v = json_loads(old_rental, 0, NULL), *w;

	check("a rental reads", ws_record_read_rental(v, &r) && r.nhosts == 3 && r.spot &&
				    r.state == WS_RENTAL_GOT && !strcmp(r.hosts[2], "n-000102"));
	w = ws_record_rental(&r);
	check("and is written alike", json_equal(v, w));
	json_decref(v);
	json_decref(w);
	free(r.hosts);
	v = json_loads(old_types, 0, NULL);
	check("types read",
	      ws_record_read_types(v, t) == 1 && t[0].cpus == 16 && !strcmp(t[0].zones[0], "huye"));
	w = ws_record_types(t, 1);
	check("and are written alike", json_equal(v, w));
	json_decref(v);
	json_decref(w);
	ws_policy_defaults(&p);
	c = ws_core_new(&settings, &p, NULL, 1, 1);
	v = json_loads(old_chunk, 0, NULL);
	ws_record_read_chunk(c, v, 0);
	m = ws_machine_find(c, "n-000002");
	check("the fleet reads",
	      m && m->port == 9000 && m->tenure == 3 && m->spot && m->ncache == 1);
	w = ws_record_chunk(c, 0);
	check("and is written in its form",
	      json_array_size(json_object_get(w, "m")) == 2 &&
		  json_array_size(json_array_get(json_object_get(w, "m"), 1)) == 8);
	json_decref(v);
	json_decref(w);
	ws_core_free(c);
}

/* Frames byte by byte: a report passed on, one of a kind and with a field that nobody knows yet. */
static void frames(void)
{
	static const uint8_t report[] = "\x08\x01\x10\x07\x1a\x06node-1\x22\x04POST\x2a\x08/checkin"
					"\x32\x02{}";
	static const uint8_t later[] = "\x08\x09\x10\x08\x1a\x06node-1\x98\x06\x05";
	static const uint8_t reply[] = "\x10\x07\x38\xf7\x03\x40\x01";
	uint8_t out[64];
	Ws__PeerFrame *f = ws__peer_frame__unpack(NULL, sizeof(report) - 1, report);

	check("a report passed on", f && f->kind == WS__PEER_FRAME__KIND__REPORT && f->id == 7 &&
					!strcmp(f->path, "/checkin") && f->body.len == 2);
	check("is packed alike", f && ws__peer_frame__pack(f, out) == sizeof(report) - 1 &&
				     !memcmp(out, report, sizeof(report) - 1));
	ws__peer_frame__free_unpacked(f, NULL);
	f = ws__peer_frame__unpack(NULL, sizeof(later) - 1, later);
	check("an unknown kind is none we know", f && f->kind == 9 && f->id == 8);
	ws__peer_frame__free_unpacked(f, NULL);
	f = ws__peer_frame__unpack(NULL, sizeof(reply) - 1, reply);
	check("a reply", f && f->kind == WS__PEER_FRAME__KIND__REPLY && f->status == 503 &&
			     f->retry_after == 1);
	ws__peer_frame__free_unpacked(f, NULL);
}

/* Testimony there and back; what production sends, or what makes no sense, is none. */
static void testimony(void)
{
	struct ws_withdrawal list[] = {{"job-000007", 41}, {"job-000003", 43}};
	struct ws_action a = {.status = 503, .vouched = true, .more = true, .nwithdrawn = 2};
	struct ws_call call = {.since = 40, .epoch = 12, .after = "job-000002"};
	Ws__PeerFrame f = WS__PEER_FRAME__INIT, *got;
	Ws__Testimony t = WS__TESTIMONY__INIT;
	struct ws_result r;
	uint8_t out[256];
	size_t n;

	ws_testimony_ask(&f, &t, &call);
	n = ws__peer_frame__pack(&f, out);
	got = ws__peer_frame__unpack(NULL, n, out);
	check("a question", got && got->kind == WS__PEER_FRAME__KIND__TESTIFY &&
				got->testimony->leader == 12 && got->testimony->since == 40 &&
				!strcmp(got->testimony->after, "job-000002"));
	ws__peer_frame__free_unpacked(got, NULL);

	a.withdrawn = list;
	ws__peer_frame__init(&f);
	ws__testimony__init(&t);
	ws_testimony_fill(&f, &t, &a);
	n = ws__peer_frame__pack(&f, out);
	ws_testimony_free(&t);
	got = ws__peer_frame__unpack(NULL, n, out);
	check("an answer", got && ws_testimony_read(got, &r) && r.status == 503 && r.vouched &&
			       r.more && r.nwithdrawn == 2 && r.withdrawn[1].stamp == 43 &&
			       !strcmp(r.withdrawn[0].job, "job-000007"));
	ws_result_free(&r);
	ws__peer_frame__free_unpacked(got, NULL);

	snprintf(list[1].job, sizeof(list[1].job), "no/job");
	ws__peer_frame__init(&f);
	ws__testimony__init(&t);
	ws_testimony_fill(&f, &t, &a);
	check("an answer with a name that no job has",
	      !ws_testimony_read(&f, &r) && r.status != 503 && !r.vouched && !r.withdrawn);
	ws_testimony_free(&t);

	a.vouched = false;
	ws__peer_frame__init(&f);
	ws_testimony_fill(&f, &t, &a);
	check("production's answer, and of one that can't vouch, has no list",
	      !f.testimony && ws_testimony_read(&f, &r) && r.status == 503 && !r.vouched);
}

int main(void)
{
	read_jobs();
	split();
	others();
	frames();
	testimony();
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
