#include "sockets.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int ws_socket_open(void)
{
	int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (socket_fd >= 0)
		ws_socket_set_no_delay(socket_fd);
	return socket_fd;
}

void ws_socket_set_no_delay(int socket_fd)
{
	int one = 1;

	setsockopt(socket_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

struct sockaddr_in ws_socket_address(const char *host, int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};

	inet_pton(AF_INET, host, &address.sin_addr);
	return address;
}

bool ws_socket_connect(int socket_fd, const struct sockaddr_in *address)
{
	if (!connect(socket_fd, (const struct sockaddr *)address, sizeof(*address)) ||
	    errno == EINPROGRESS)
		return true;
	close(socket_fd);
	return false;
}

/* Returns false with errno on failure. */
static bool bind_and_listen(int socket_fd, const struct sockaddr_in *address, int backlog)
{
	int enabled = 1;

	setsockopt(socket_fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
	return !bind(socket_fd, (const struct sockaddr *)address, sizeof(*address)) &&
	       !listen(socket_fd, backlog);
}

int ws_socket_listen(const char *host, int *port, int backlog, char *error, size_t error_size)
{
	struct sockaddr_in address = ws_socket_address(host, *port);
	socklen_t length = sizeof(address);
	int socket_fd = ws_socket_open();

	if (socket_fd < 0 || !bind_and_listen(socket_fd, &address, backlog)) {
		snprintf(error, error_size, "can't listen on %s:%d: %s", host, *port,
			 strerror(errno));
		if (socket_fd >= 0)
			close(socket_fd);
		return -1;
	}
	getsockname(socket_fd, (struct sockaddr *)&address, &length);
	*port = ntohs(address.sin_port);
	return socket_fd;
}

int ws_socket_accept(int listener_fd)
{
	return accept4(listener_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

bool ws_socket_peer(int socket_fd, char *text, size_t size)
{
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);
	char host[INET_ADDRSTRLEN];

	if (getpeername(socket_fd, (struct sockaddr *)&address, &length) ||
	    address.sin_family != AF_INET ||
	    !inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host)))
		return false;
	return snprintf(text, size, "%s:%d", host, ntohs(address.sin_port)) < (int)size;
}

bool ws_socket_connect_succeeded(int socket_fd)
{
	int error = 0;
	socklen_t length = sizeof(error);

	getsockopt(socket_fd, SOL_SOCKET, SO_ERROR, &error, &length);
	return !error;
}

bool ws_socket_receive(int socket_fd, void *bytes, size_t size, ssize_t *count)
{
	*count = recv(socket_fd, bytes, size, 0);
	return *count >= 0 || (errno != EAGAIN && errno != EINTR);
}

bool ws_socket_would_block(void)
{
	return errno == EAGAIN;
}
