/* The cloud of the loopback cluster: it lists the workers as running instances and has no capacity
 * to scale out. */
#include "loopback_parts.h"

static struct ws_http_server *cloud;

json_t *loopback_cloud_instance(const char *name, const char *address, const char *zone)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "nameId", name, "address", address,
			 "flavour", "std", "hall", zone, "reclaimable", 0, "phase", "running",
			 "ageS", 100.0);
}

static json_t *machine_types(json_t *zones)
{
	return json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:O}]}", "flavours", "name",
			 "std", "vcpus", 16.0, "accelerators", 0.0, "memGb", 64.0, "localGb", 20.0,
			 "fetchGbPerS", 1.0, "rate", 1.0, "spotPrice", 0.4, "startupS", 30.0,
			 "halls", zones);
}

void loopback_cloud_answer(struct ws_http_server *server,
			   const struct loopback_cloud_request *request, json_t *zones,
			   json_t *instances)
{
	if (!strcmp(request->path, "/machine_types"))
		loopback_answer_request(LOOPBACK_CLOUD, server, request->id, 200,
					machine_types(zones));
	else if (!strcmp(request->method, "GET"))
		loopback_answer_request(LOOPBACK_CLOUD, server, request->id, 200,
					json_pack("{s:O,s:b}", "hosts", instances, "hasNext", 0));
	else
		loopback_answer_request(LOOPBACK_CLOUD, server, request->id, 503,
					json_pack("{s:s}", "error", "no capacity"));
	json_decref(zones);
	json_decref(instances);
}

static json_t *worker_instances(void)
{
	json_t *instances = json_array();

	for (int i = 0; i < LOOPBACK_WORKERS; i++) {
		const struct loopback_worker *worker = &loopback_workers[i];
		char address[32];

		snprintf(address, sizeof(address), "127.0.0.1:%d", worker->port);
		json_array_append_new(
		    instances,
		    loopback_cloud_instance(worker->name, address, loopback_zones[worker->zone]));
	}
	return instances;
}

static void on_cloud(void *context, uint64_t request_id, const char *method, const char *path,
		     const char *body, size_t length)
{
	const struct loopback_cloud_request request = {request_id, method, path};

	(void)context;
	(void)body;
	(void)length;
	loopback_cloud_answer(cloud, &request, json_pack("[s,s,s]", "a", "b", "c"),
			      worker_instances());
}

struct ws_http_server *loopback_cloud_open(struct ev_loop *loop,
					   const struct ws_http_server_options *options)
{
	char error[200];

	cloud = ws_server_new(loop, "127.0.0.1", 0, options, on_cloud, NULL, error, sizeof(error));
	return cloud;
}
