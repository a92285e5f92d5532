#include "rattanpickd/messages/messagemodule.h"
#include "rattanpickd/stream/streamdaemon.h"

#include <CLI/CLI.hpp>

#include <QCoreApplication>
#include <QLibrary>

#include <array>
#include <csignal>
#include <cstdio>
#include <initializer_list>
#include <string>

using namespace Rattanpick;

namespace
{

struct RoleCommand
{
    const char *name;
    const char *description;
    DaemonRole role;
    bool isMessageMode;
};

constexpr std::array roleCommands{
    RoleCommand{"balancer", "Entry instance: forwards packets from the fabric to the agents.", DaemonRole::Balancer, true},
    RoleCommand{"agent", "Runs beside a target and owns its flows and requests.", DaemonRole::Agent, true},
    RoleCommand{"stream-balancer", "Entry instance for byte-stream flows on the platform.", DaemonRole::Balancer, false},
    RoleCommand{"stream-agent", "Runs beside a target that holds byte-stream flows on the platform.", DaemonRole::Agent, false},
};

/// Holds back the signals that a role handles until its handlers are installed; their default action ends the process.
void changeSignalMask(int how, std::initializer_list<int> signals)
{
    sigset_t mask;
    sigemptyset(&mask);
    for (const int signal : signals) {
        sigaddset(&mask, signal);
    }
    pthread_sigmask(how, &mask, nullptr);
}

int runMessageMode(const MessageModeOptions &options)
{
    QLibrary module(QCoreApplication::applicationDirPath() + QLatin1Char('/') + QLatin1String(messageModuleName));
    const auto entry = reinterpret_cast<MessageModeEntry>(module.resolve(messageModuleEntry));
    if (entry == nullptr) {
        std::fprintf(stderr, "rattanpickd: %s\n", qPrintable(module.errorString()));
        return 1;
    }
    return entry(&options);
}

}

int main(int argc, char **argv)
{
    changeSignalMask(SIG_BLOCK, {SIGTERM, SIGINT, SIGHUP});
    CLI::App commandLine("Daemon of the rattanpick load balancer.", "rattanpickd");
    commandLine.require_subcommand(1);
    std::string settingsFile;
    std::string documentFile;
    bool isCheckOnly = false;
    for (const RoleCommand &role : roleCommands) {
        CLI::App *command = commandLine.add_subcommand(role.name, role.description);
        command->add_option("--settings", settingsFile, "Settings file of this process")->required()->check(CLI::ExistingFile);
        command->add_flag("--check", isCheckOnly, "Check the settings and stop");
        if (role.isMessageMode) {
            command->add_option("--document", documentFile, "Document to start with until the platform or a peer delivers a later one");
        }
    }
    CLI11_PARSE(commandLine, argc, argv);

    const auto *const role =
        std::ranges::find_if(roleCommands, [&commandLine](const RoleCommand &candidate) { return commandLine.got_subcommand(candidate.name); });
    if (!role->isMessageMode) {
        return runStreamDaemon({QString::fromStdString(settingsFile), role->role, isCheckOnly});
    }
    // The message mode does not reload its settings.
    changeSignalMask(SIG_UNBLOCK, {SIGHUP});
    QCoreApplication application(argc, argv);
    return runMessageMode({settingsFile.c_str(), documentFile.empty() ? nullptr : documentFile.c_str(), role->role == DaemonRole::Balancer, isCheckOnly});
}
