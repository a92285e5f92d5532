#include <gtest/gtest.h>

#include <QByteArray>
#include <QFile>
#include <QTemporaryDir>

#include <array>
#include <chrono>
#include <csignal>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace
{

/// The settings of a balancer on loopback whose directory source does not exist. Each process uses an address of its own, so that
/// several runs of the test do not meet.
QByteArray balancerSettings()
{
    const pid_t process = getpid();
    const QString address = QStringLiteral("127.%1.%2.1").arg(100 + process / 256 % 100).arg(process % 256);
    const QString text =
        QStringLiteral("[process]\nname = balancer\nrole = balancer\ndata-centre = escale\nlog-level = info\nstop-grace-seconds = 6\n"
                       "[listen]\nmessages = %1:7001\nready = %1:7002\nmetrics = %1:7003\nspread = %1:7004\ncontrol = %1:7005\ncallers = %1:7006\n"
                       "[directory]\nstore = %1:7007\nseeds =\n[flows]\nmaximum-age-seconds = 60\n");
    return text.arg(address).toUtf8();
}

}

// Guards against a planned stop that kills a process: a signal that arrives before the handlers are installed has its default action.
// The settings come from a pipe, so that the process is held in its start while it gets the signal.
TEST(StreamDaemonTest, StopSignalDuringTheStartEndsTheProcessGracefully)
{
    const QTemporaryDir folder;
    const QByteArray pipeName = QFile::encodeName(folder.filePath(QStringLiteral("settings.ini")));
    ASSERT_EQ(mkfifo(pipeName.constData(), 0600), 0);
    QByteArray program = RATTANPICKD;
    QByteArray role = "stream-balancer";
    QByteArray option = "--settings";
    QByteArray file = pipeName;
    const std::array<char *, 5> arguments{program.data(), role.data(), option.data(), file.data(), nullptr};
    pid_t process = 0;
    ASSERT_EQ(posix_spawn(&process, RATTANPICKD, nullptr, nullptr, arguments.data(), environ), 0);
    // Returns once the process reads its settings.
    const int pipe = ::open(pipeName.constData(), O_WRONLY | O_CLOEXEC);
    ASSERT_GE(pipe, 0);
    ASSERT_EQ(kill(process, SIGTERM), 0);
    const QByteArray settings = balancerSettings();
    EXPECT_EQ(::write(pipe, settings.constData(), static_cast<std::size_t>(settings.size())), settings.size());
    // Later reads of the settings must not wait for a writer.
    ASSERT_EQ(::unlink(pipeName.constData()), 0);
    ::close(pipe);
    int status = 0;
    const auto limit = std::chrono::steady_clock::now() + 30s;
    while (waitpid(process, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > limit) {
            kill(process, SIGKILL);
        }
        std::this_thread::yield();
    }
    EXPECT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
    EXPECT_EQ(WEXITSTATUS(status), 0);
}
