/* Non-blocking TCP sockets that send small segments without delay (TCP_NODELAY). IPv4 only. */
#ifndef WS_SOCKETS_H
#define WS_SOCKETS_H
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/* Creates a socket with TCP_NODELAY set. Returns -1 with errno on failure. */
int ws_socket_open(void);
/* Sets TCP_NODELAY; for accepted sockets. */
void ws_socket_set_no_delay(int socket_fd);
/* Returns the address of a host given as a dotted IPv4 address. */
struct sockaddr_in ws_socket_address(const char *host, int port);
/* Starts to connect. On failure it closes the socket and returns false. */
bool ws_socket_connect(int socket_fd, const struct sockaddr_in *address);
/* Creates a listening socket. Returns -1 with one line in `error` on failure. `port` is set to the
 * port in use, which matters if it was 0. */
int ws_socket_listen(const char *host, int *port, int backlog, char *error, size_t error_size);
/* Accepts a connection. Returns -1 with errno if none is waiting or on failure. */
int ws_socket_accept(int listener_fd);
/* Writes "ADDRESS:PORT" of the other end of a connection. Returns false if it is not known. */
bool ws_socket_peer(int socket_fd, char *text, size_t size);
/* Whether a pending connection attempt succeeded; called once the socket is writable. */
bool ws_socket_connect_succeeded(int socket_fd);
/*
 * Receives up to `size` bytes. Returns false if no data is available yet. `count` is set to the
 * number of bytes, to 0 at the end of the connection, or to -1 with errno on an error.
 */
bool ws_socket_receive(int socket_fd, void *bytes, size_t size, ssize_t *count);
/* Whether errno says that the last operation would have blocked. */
bool ws_socket_would_block(void);
#endif
