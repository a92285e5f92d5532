#include "rattanpickd/messages/messagemodule.h"

#include "rattanpickd/messages/daemon.h"

#include "core/logging.h"
#include "operators/daemonsettingsreader.h"

#include <QFile>

#include <cstdio>
#include <optional>

using namespace Rattanpick;

namespace
{

constexpr int usageError = 2;

std::optional<QByteArray> readFile(const char *name)
{
    QFile file(QString::fromLocal8Bit(name));
    if (!file.open(QIODevice::ReadOnly)) {
        std::fprintf(stderr, "rattanpickd: cannot read %s: %s\n", name, qPrintable(file.errorString()));
        return std::nullopt;
    }
    return file.readAll();
}

std::optional<DaemonSettings> readSettings(const char *file, DaemonRole role)
{
    const std::optional<QByteArray> text = readFile(file);
    if (!text) {
        return std::nullopt;
    }
    DaemonSettingsReader reader(QString::fromLocal8Bit(file));
    std::optional<DaemonSettings> settings = reader.read(*text);
    for (const Finding &finding : reader.findings()) {
        std::fprintf(stderr, "%s\n", qPrintable(finding.toString()));
    }
    if (settings && settings->role != role) {
        std::fprintf(stderr, "rattanpickd: %s is a settings file of the other role\n", file);
        return std::nullopt;
    }
    return settings;
}

}

extern "C" int rattanpickRunMessageMode(const MessageModeOptions *options)
{
    const std::optional<DaemonSettings> settings = readSettings(options->settingsFile, options->isBalancer ? DaemonRole::Balancer : DaemonRole::Agent);
    if (!settings) {
        return usageError;
    }
    if (options->isCheckOnly) {
        return 0;
    }
    QByteArray document;
    if (options->documentFile != nullptr) {
        const std::optional<QByteArray> text = readFile(options->documentFile);
        if (!text) {
            return usageError;
        }
        document = *text;
    }
    setUpLogging(settings->logLevel);
    return runDaemon(*settings, document);
}
