/* Unused TCP ports on the loopback interface, for tests that start processes. */
#ifndef WS_TEST_PORTS_H
#define WS_TEST_PORTS_H
#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static int free_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)))
		abort();
	getsockname(fd, (struct sockaddr *)&address, &length);
	close(fd);
	return ntohs(address.sin_port);
}
#endif
