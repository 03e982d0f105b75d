/* A running controller and frames between controllers that make no sense: frames_test WAYSTEP. Each
 * is refused and logged, and the process goes on. */
#include "check.h"
#include "peer.h"
#include "ports.h"
#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Sends this and waits for an answer; its length, 0 if the other side closes, -1 if nothing comes.
 */
static ssize_t tell(int port, const void *bytes, size_t count, uint8_t *answer, size_t max)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	struct timeval t = {.tv_sec = 3};
	int fd = -1;
	ssize_t got;

	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	for (int i = 0; i < 100; i++) { /* until it listens */
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (!connect(fd, (struct sockaddr *)&a, sizeof(a)))
			break;
		close(fd);
		fd = -1;
		usleep(50000);
	}
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	got =
	    send(fd, bytes, count, MSG_NOSIGNAL) == (ssize_t)count ? recv(fd, answer, max, 0) : -1;
	close(fd);
	return got;
}

static bool logged(const char *file, const char *what)
{
	char line[600];
	bool found = false;
	FILE *f = fopen(file, "r");

	while (f && fgets(line, sizeof(line), f))
		found |= strstr(line, what) != NULL;
	if (f)
		fclose(f);
	return found;
}

int main(int argc, char **argv)
{
	static const uint8_t unknown[] = "\0\0\0\x0c\x08\x09\x10\x08\x1a\x06node-1";
	static const uint8_t garbled[] = "\0\0\0\x04\xff\xff\xff\xff";
	static const uint8_t endless[] = "\x7f\xff\xff\xff\x08";
	char file[] = "/tmp/waystep-frames-XXXXXX", log[64];
	int port = free_port(), peer = free_port(), status = 0;
	FILE *f = fdopen(mkstemp(file), "w");
	Ws__PeerFrame *frame;
	uint8_t in[512];
	ssize_t n;
	pid_t pid;

	if (argc != 2)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	snprintf(log, sizeof(log), "%s.log", file);
	fprintf(f,
		"node='n'\nzone='a'\nbind='127.0.0.1:%d'\npeer_bind='127.0.0.1:%d'\n"
		"[[seeds]]\nnode='node-1'\nzone='a'\nendpoint='127.0.0.1:%d'\n"
		"[services]\ncloud='127.0.0.1:%d'\nstate='127.0.0.1:%d'\n"
		"[settings]\nzones=['a']\n[[settings.teams]]\nname='t'\ncpus=8.0\ncpus_max=16.0\n"
		"[settings.workers]\nreport_s=0.5\nlease_s=6.0\ncancel_s=20.0\n"
		"[settings.state]\nrps=200.0\nwrite_rps=100.0\nvalue_kb=4.0\ntxn_ops=12\n"
		"[settings.cloud]\nrps=5.0\nlist_lag_s=1.0\n"
		"[settings.machine_limits]\ncore_share=1.0\nram_mb=64.0\nmax_sockets=96\n",
		port, peer, free_port(), free_port(), free_port());
	fclose(f);
	pid = fork();
	if (!pid) {
		(void)!freopen(log, "w", stderr);
		execl(argv[1], argv[1], "--config", file, (char *)NULL);
		_exit(99);
	}
	n = tell(peer, unknown, sizeof(unknown) - 1, in, sizeof(in));
	frame = n > 4 ? ws__peer_frame__unpack(NULL, (size_t)n - 4, in + 4) : NULL;
	check("a frame of an unknown kind gets 400",
	      frame && frame->kind == WS__PEER_FRAME__KIND__REPLY && frame->id == 8 &&
		  frame->status == 400);
	ws__peer_frame__free_unpacked(frame, NULL);
	check("and is logged", logged(log, "a frame of kind 9 of node-1 is refused"));
	check("a frame that can't be read ends its connection",
	      tell(peer, garbled, sizeof(garbled) - 1, in, sizeof(in)) == 0);
	check("and is logged", logged(log, "a peer's frame of 4 bytes can't be read"));
	check("a frame too long ends its connection",
	      tell(peer, endless, sizeof(endless) - 1, in, sizeof(in)) == 0);
	check("and is logged", logged(log, "a peer's frame of 2147483647 bytes is refused"));
	n = tell(port, "GET /healthz HTTP/1.1\r\n\r\n", 25, in, sizeof(in) - 1);
	in[n > 0 ? n : 0] = 0;
	check("the process goes on", n > 0 && !strncmp((char *)in, "HTTP/1.1 503", 12));
	kill(pid, SIGTERM);
	waitpid(pid, &status, 0);
	check("and stops when told to", WIFEXITED(status) && WEXITSTATUS(status) == 0);
	unlink(file);
	unlink(log);
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
