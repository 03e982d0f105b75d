/* The connections between controllers go through these proxies, which can be cut: bytes are held
 * while a pair is cut and go on afterwards. */
#include "parts.h"
#include <errno.h>
#include <fcntl.h>
#include <unistd.h>

#define BUFFER_MAX (256 * 1024)

struct half {
	int fd;
	ev_io readable, writable;
	char *bytes; /* to be written to this side */
	size_t length;
	bool connected, ended; /* ended: the other side has closed; close after the bytes */
};

struct link {
	int from, to;
	struct half side[2];
	struct link *next;
};

struct listener {
	int fd, port, from, to;
	ev_io readable;
};

static struct listener listeners[NODES_MAX][NODES_MAX];
static struct link *links;

static bool is_cut(const struct link *link)
{
	return faults.peer_cut[link->from][link->to] || faults.peer_cut[link->to][link->from];
}

static void link_close(struct link *link)
{
	struct link **position = &links;

	for (int i = 0; i < 2; i++) {
		ev_io_stop(loop, &link->side[i].readable);
		ev_io_stop(loop, &link->side[i].writable);
		close(link->side[i].fd);
		free(link->side[i].bytes);
	}
	while (*position != link)
		position = &(*position)->next;
	*position = link->next;
	free(link);
}

static void watch(struct link *link)
{
	for (int i = 0; i < 2; i++) {
		struct half *side = &link->side[i], *other = &link->side[!i];

		if (!is_cut(link) && side->connected && other->length < BUFFER_MAX && !other->ended)
			ev_io_start(loop, &side->readable);
		else
			ev_io_stop(loop, &side->readable);
		if (!side->connected || (!is_cut(link) && (side->length || side->ended)))
			ev_io_start(loop, &side->writable);
		else
			ev_io_stop(loop, &side->writable);
	}
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
	struct link *link = watcher->data;
	struct half *side = watcher == &link->side[0].readable ? &link->side[0] : &link->side[1];
	struct half *other = side == &link->side[0] ? &link->side[1] : &link->side[0];
	char bytes[16384];
	ssize_t count = recv(side->fd, bytes, sizeof(bytes), 0);

	(void)ev;
	(void)events;
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0) {
		other->ended = true;
	} else {
		other->bytes = realloc(other->bytes, other->length + (size_t)count);
		memcpy(other->bytes + other->length, bytes, (size_t)count);
		other->length += (size_t)count;
	}
	watch(link);
}

static void on_writable(struct ev_loop *ev, ev_io *watcher, int events)
{
	struct link *link = watcher->data;
	struct half *side = watcher == &link->side[0].writable ? &link->side[0] : &link->side[1];
	ssize_t count;

	(void)ev;
	(void)events;
	if (!side->connected) {
		int error = 0;
		socklen_t length = sizeof(error);

		getsockopt(side->fd, SOL_SOCKET, SO_ERROR, &error, &length);
		if (error) {
			link_close(link);
			return;
		}
		side->connected = true;
		watch(link);
		return;
	}
	if (side->length) {
		count = send(side->fd, side->bytes, side->length, MSG_NOSIGNAL);
		if (count < 0 && errno != EAGAIN && errno != EINTR) {
			link_close(link);
			return;
		}
		if (count > 0) {
			memmove(side->bytes, side->bytes + count, side->length - (size_t)count);
			side->length -= (size_t)count;
		}
	}
	if (!side->length && side->ended) {
		link_close(link);
		return;
	}
	watch(link);
}

static void half_init(struct link *link, int index, int fd, bool connected)
{
	struct half *side = &link->side[index];

	fcntl(fd, F_SETFL, O_NONBLOCK);
	fcntl(fd, F_SETFD, FD_CLOEXEC);
	side->fd = fd;
	side->connected = connected;
	ev_io_init(&side->readable, on_readable, fd, EV_READ);
	ev_io_init(&side->writable, on_writable, fd, EV_WRITE);
	side->readable.data = side->writable.data = link;
}

static struct sockaddr_in loopback(int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

static void on_acceptable(struct ev_loop *ev, ev_io *watcher, int events)
{
	struct listener *listener = watcher->data;
	struct sockaddr_in address = loopback(nodes[listener->to].peer_port);
	int accepted = accept(listener->fd, NULL, NULL), out;
	struct link *link;

	(void)ev;
	(void)events;
	if (accepted < 0)
		return;
	out = socket(AF_INET, SOCK_STREAM, 0);
	fcntl(out, F_SETFL, O_NONBLOCK);
	if (connect(out, (struct sockaddr *)&address, sizeof(address)) && errno != EINPROGRESS) {
		close(out);
		close(accepted);
		return;
	}
	link = calloc(1, sizeof(*link));
	link->from = listener->from;
	link->to = listener->to;
	half_init(link, 0, accepted, true);
	half_init(link, 1, out, false);
	link->next = links;
	links = link;
	watch(link);
}

void proxies_update(void)
{
	for (struct link *link = links; link; link = link->next)
		watch(link);
}

int proxy_port(int from, int to)
{
	return listeners[from][to].port;
}

void proxies_open(void)
{
	for (int i = 0; i < settings.nodes; i++)
		for (int k = 0; k < settings.nodes; k++) {
			struct listener *listener = &listeners[i][k];
			struct sockaddr_in address = loopback(0);
			socklen_t length = sizeof(address);

			if (i == k)
				continue;
			listener->from = i;
			listener->to = k;
			listener->fd = socket(AF_INET, SOCK_STREAM, 0);
			fcntl(listener->fd, F_SETFD, FD_CLOEXEC);
			if (bind(listener->fd, (struct sockaddr *)&address, sizeof(address)) ||
			    listen(listener->fd, 64))
				cannot_run("no port for a proxy");
			getsockname(listener->fd, (struct sockaddr *)&address, &length);
			listener->port = ntohs(address.sin_port);
			ev_io_init(&listener->readable, on_acceptable, listener->fd, EV_READ);
			listener->readable.data = listener;
			ev_io_start(loop, &listener->readable);
		}
}
