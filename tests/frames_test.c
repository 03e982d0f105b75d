/* Sends invalid peer frames to a running controller: each must be refused and logged, and the
 * process must keep running. Usage: frames_test WAYSTEP. */
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

/* Sends bytes on a new connection and waits for an answer. Returns the answer's length, 0 if the
 * connection was closed, -1 on failure or timeout. */
static ssize_t exchange(int port, const void *bytes, size_t size, uint8_t *answer, size_t max)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	struct timeval timeout = {.tv_sec = 3};
	int fd = -1;
	ssize_t received;

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	for (int i = 0; i < 100; i++) { /* until the controller listens */
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
			break;
		close(fd);
		fd = -1;
		usleep(50000);
	}
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	received =
	    send(fd, bytes, size, MSG_NOSIGNAL) == (ssize_t)size ? recv(fd, answer, max, 0) : -1;
	close(fd);
	return received;
}

static bool logged(const char *path, const char *what)
{
	char line[600];
	bool found = false;
	FILE *file = fopen(path, "r");

	while (file && fgets(line, sizeof(line), file))
		found |= strstr(line, what) != NULL;
	if (file)
		fclose(file);
	return found;
}

int main(int argc, char **argv)
{
	static const uint8_t unknown[] = "\0\0\0\x0c\x08\x09\x10\x08\x1a\x06node-1";
	static const uint8_t malformed[] = "\0\0\0\x04\xff\xff\xff\xff";
	static const uint8_t oversized[] = "\x7f\xff\xff\xff\x08";
	char path[] = "/tmp/waystep-frames-XXXXXX", log[64];
	int port = free_port(), peer = free_port(), status = 0;
	FILE *file = fdopen(mkstemp(path), "w");
	Ws__PeerFrame *frame;
	uint8_t answer[512];
	ssize_t length;
	pid_t pid;

	if (argc != 2)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	snprintf(log, sizeof(log), "%s.log", path);
	fprintf(file,
		"node='n'\nzone='a'\nbind='127.0.0.1:%d'\npeer_bind='127.0.0.1:%d'\n"
		"[[seeds]]\nnode='node-1'\nzone='a'\nendpoint='127.0.0.1:%d'\n"
		"[services]\ncloud='127.0.0.1:%d'\nstate='127.0.0.1:%d'\n"
		"[settings]\nzones=['a']\n[[settings.teams]]\nname='t'\ncpus=8.0\ncpus_max=16.0\n"
		"[settings.workers]\nreport_s=0.5\nlease_s=6.0\ncancel_s=20.0\n"
		"[settings.state]\nrps=200.0\nwrite_rps=100.0\nvalue_kb=4.0\ntxn_ops=12\n"
		"[settings.cloud]\nrps=5.0\nlist_lag_s=1.0\n"
		"[settings.machine_limits]\ncore_share=1.0\nram_mb=64.0\nmax_sockets=96\n",
		port, peer, free_port(), free_port(), free_port());
	fclose(file);
	pid = fork();
	if (!pid) {
		(void)!freopen(log, "w", stderr);
		execl(argv[1], argv[1], "--config", path, (char *)NULL);
		_exit(99);
	}
	length = exchange(peer, unknown, sizeof(unknown) - 1, answer, sizeof(answer));
	frame = length > 4 ? ws__peer_frame__unpack(NULL, (size_t)length - 4, answer + 4) : NULL;
	check("an unknown frame kind is answered with 400",
	      frame && frame->kind == WS__PEER_FRAME__KIND__REPLY && frame->id == 8 &&
		  frame->status == 400);
	ws__peer_frame__free_unpacked(frame, NULL);
	check("an unknown frame kind is logged",
	      logged(log, "peer frame of unknown kind rejected peer=node-1 kind=9\n"));
	check("a malformed frame closes its connection",
	      exchange(peer, malformed, sizeof(malformed) - 1, answer, sizeof(answer)) == 0);
	check("malformed frame is logged", logged(log, "malformed peer frame rejected bytes=4\n"));
	check("an oversized frame closes its connection",
	      exchange(peer, oversized, sizeof(oversized) - 1, answer, sizeof(answer)) == 0);
	check("an oversized frame is logged",
	      logged(log, "oversized peer frame rejected bytes=2147483647\n"));
	length = exchange(port, "GET /healthz HTTP/1.1\r\n\r\n", 25, answer, sizeof(answer) - 1);
	answer[length > 0 ? length : 0] = 0;
	check("the process is running", length > 0 && !strncmp((char *)answer, "HTTP/1.1 503", 12));
	kill(pid, SIGTERM);
	waitpid(pid, &status, 0);
	check("exit status after SIGTERM is 0", WIFEXITED(status) && WEXITSTATUS(status) == 0);
	unlink(path);
	unlink(log);
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
