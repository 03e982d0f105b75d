/* The loopback cluster's cloud: the workers are owned, and there is nothing to rent. */
#include "loopback_parts.h"

static struct ws_http_server *cloud;

static json_t *hosts(void)
{
	json_t *list = json_array();

	for (int i = 0; i < LOOPBACK_WORKERS; i++) {
		char address[32];

		snprintf(address, sizeof(address), "127.0.0.1:%d", loopback_workers[i].port);
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "nameId",
				    loopback_workers[i].name, "address", address, "flavour", "std",
				    "hall", loopback_zones[loopback_workers[i].zone], "reclaimable",
				    0, "phase", "running", "ageS", 100.0));
	}
	return list;
}

static void on_cloud(void *context, uint64_t request_id, const char *method, const char *path,
		     const char *body, size_t length)
{
	(void)context;
	(void)body;
	(void)length;
	if (!strcmp(path, "/machine_types"))
		loopback_answer(cloud, request_id, 200,
				json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[s,s,s]}]}",
					  "flavours", "name", "std", "vcpus", 16.0, "accelerators",
					  0.0, "memGb", 64.0, "localGb", 20.0, "fetchGbPerS", 1.0,
					  "rate", 1.0, "spotPrice", 0.4, "startupS", 30.0, "halls",
					  "a", "b", "c"));
	else if (!strcmp(method, "GET"))
		loopback_answer(cloud, request_id, 200,
				json_pack("{s:o,s:b}", "hosts", hosts(), "hasNext", 0));
	else
		loopback_answer(cloud, request_id, 503, json_pack("{s:s}", "error", "no capacity"));
}

struct ws_http_server *loopback_cloud_open(struct ev_loop *loop,
					   const struct ws_http_server_options *options)
{
	char error[200];

	cloud = ws_server_new(loop, "127.0.0.1", 0, options, on_cloud, NULL, error, sizeof(error));
	return cloud;
}
