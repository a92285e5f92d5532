#include "daemon.h"
#include "streamdaemon.h"

#include "core/logging.h"
#include "operators/daemonsettingsreader.h"

#include <CLI/CLI.hpp>

#include <QCoreApplication>
#include <QFile>

#include <cstdio>
#include <optional>
#include <string>

using namespace Rattanpick;

namespace
{

constexpr int usageError = 2;

std::optional<QByteArray> readFile(const std::string &name)
{
    QFile file(QString::fromStdString(name));
    if (!file.open(QIODevice::ReadOnly)) {
        std::fprintf(stderr, "rattanpickd: cannot read %s: %s\n", name.c_str(), qPrintable(file.errorString()));
        return std::nullopt;
    }
    return file.readAll();
}

std::optional<DaemonSettings> readSettings(const std::string &file, DaemonRole role)
{
    const std::optional<QByteArray> text = readFile(file);
    if (!text) {
        return std::nullopt;
    }
    DaemonSettingsReader reader(QString::fromStdString(file));
    std::optional<DaemonSettings> settings = reader.read(*text);
    for (const Finding &finding : reader.findings()) {
        std::fprintf(stderr, "%s\n", qPrintable(finding.toString()));
    }
    if (settings && settings->role != role) {
        std::fprintf(stderr, "rattanpickd: %s is for the other role\n", file.c_str());
        return std::nullopt;
    }
    return settings;
}

}

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    CLI::App commandLine("Daemon of the rattanpick load balancer.", "rattanpickd");
    commandLine.require_subcommand(1);
    std::string settingsFile;
    std::string documentFile;
    bool isCheckOnly = false;
    for (const auto &[name, text] : {std::pair{"balancer", "Entry instance: forwards packets of the fabric to the agents."},
                                     std::pair{"agent", "Runs beside a target and owns its flows and requests."}}) {
        CLI::App *command = commandLine.add_subcommand(name, text);
        command->add_option("--settings", settingsFile, "Settings file of this process")->required()->check(CLI::ExistingFile);
        command->add_option("--document", documentFile, "Document to start with until the platform or a peer gives a later one");
        command->add_flag("--check", isCheckOnly, "Check the settings and stop");
    }
    for (const auto &[name, text] : {std::pair{"stream-balancer", "Entry instance for byte-stream flows on the platform."},
                                     std::pair{"stream-agent", "Runs beside a target that holds byte-stream flows on the platform."}}) {
        CLI::App *command = commandLine.add_subcommand(name, text);
        command->add_option("--settings", settingsFile, "Settings file of this process")->required()->check(CLI::ExistingFile);
    }
    CLI11_PARSE(commandLine, argc, argv);
    for (const auto &[name, role] : {std::pair{"stream-balancer", DaemonRole::Balancer}, std::pair{"stream-agent", DaemonRole::Agent}}) {
        if (commandLine.got_subcommand(name)) {
            return runStreamDaemon(QString::fromStdString(settingsFile), role);
        }
    }

    const DaemonRole role = commandLine.got_subcommand("balancer") ? DaemonRole::Balancer : DaemonRole::Agent;
    const std::optional<DaemonSettings> settings = readSettings(settingsFile, role);
    if (!settings) {
        return usageError;
    }
    if (isCheckOnly) {
        return 0;
    }
    QByteArray document;
    if (!documentFile.empty()) {
        const std::optional<QByteArray> text = readFile(documentFile);
        if (!text) {
            return usageError;
        }
        document = *text;
    }
    setUpLogging(settings->logLevel);
    return runDaemon(*settings, document);
}
