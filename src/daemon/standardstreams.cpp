#include "daemon/standardstreams.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <initializer_list>

namespace ibisfork::daemon {

namespace {

void openIfClosed(int stream)
{
    if (fcntl(stream, F_GETFD) >= 0) {
        return;
    }
    // Takes the lowest free number, which is that of the stream.
    const int opened = open("/dev/null", O_RDWR);
    if (opened >= 0 && opened != stream) {
        dup2(opened, stream);
        close(opened);
    }
}

/// Pipes only: a terminal or a file is shared with others and takes what is written.
void makeNonBlocking(int stream)
{
    struct stat status = {};
    const bool isPipe = fstat(stream, &status) == 0 && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
    const int flags = fcntl(stream, F_GETFL);
    if (isPipe && flags >= 0) {
        fcntl(stream, F_SETFL, flags | O_NONBLOCK);
    }
}

} // namespace

void prepareStandardStreams()
{
    for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        openIfClosed(stream);
    }
    makeNonBlocking(STDERR_FILENO);
}

} // namespace ibisfork::daemon
