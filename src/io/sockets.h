/* TCP sockets that neither block nor delay small segments. IPv4 alone. */
#ifndef WS_SOCKETS_H
#define WS_SOCKETS_H
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/* -1 with errno if there is none to be had. */
int ws_socket_open(void);
/* Has small segments sent at once. */
void ws_socket_no_delay(int socket_fd);
/* The address of a host that is given by its number. */
struct sockaddr_in ws_socket_address(const char *host, int port);
/* Starts to connect; false: it failed, and the socket was closed. */
bool ws_socket_connect(int socket_fd, const struct sockaddr_in *address);
/* A socket that listens, -1 with one line in `error` if it can't. `port` becomes the one it has. */
int ws_socket_listen(const char *host, int *port, int backlog, char *error, size_t error_size);
/* Accepts a connection; -1 with errno if there is none. */
int ws_socket_accept(int listener_fd);
/* Whether a connection under way came about; false: it failed. */
bool ws_socket_connected(int socket_fd);
/*
 * Receives what has arrived, up to `size` bytes; false if there is nothing to receive yet. `count`
 * becomes the number of bytes, 0 at the end of the connection, or negative with errno on an error.
 */
bool ws_socket_receive(int socket_fd, void *bytes, size_t size, ssize_t *count);
/* Whether errno says that the socket is to be waited for. */
bool ws_socket_would_block(void);
#endif
