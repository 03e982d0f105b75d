/* A port of the loopback that nobody listens on, for tests that start processes. */
#ifndef WS_TEST_PORTS_H
#define WS_TEST_PORTS_H
#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static int free_port(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t n = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)))
		abort();
	getsockname(fd, (struct sockaddr *)&a, &n);
	close(fd);
	return ntohs(a.sin_port);
}
#endif
