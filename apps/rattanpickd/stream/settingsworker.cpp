#include "rattanpickd/stream/settingsworker.h"

#include "core/logging.h"

#include <QFile>

namespace Rattanpick
{

namespace
{

/// The file may change without a signal; changes are required to take effect within seconds, not sooner.
constexpr Duration pollInterval = 1s;

}

SettingsWorker::SettingsWorker(StreamContext &context, const QString &file, const QByteArray &text)
    : m_context(context)
    , m_file(file)
    , m_reload(file, context.settings, text)
{
}

void SettingsWorker::run()
{
    while (!m_context.isTerminating) {
        m_context.settingsWakeup.arm();
        if (!m_context.isTerminating) {
            m_context.settingsWakeup.wait(pollInterval);
        }
        checkFile();
    }
}

void SettingsWorker::checkFile()
{
    QFile file(m_file);
    // A file that is being replaced is read at the next check.
    if (!file.open(QIODevice::ReadOnly)) {
        return;
    }
    const std::optional<ReloadedSettings> reloaded = m_reload.offer(file.readAll());
    for (const Finding &finding : m_reload.findings()) {
        m_context.log.record(EventNumber::SettingsReloaded, QStringLiteral("refused: ") + finding.toString());
    }
    if (!reloaded) {
        return;
    }
    setLogLevel(reloaded->settings.logLevel);
    m_context.seeds.push(std::make_shared<const QList<Endpoint>>(reloaded->settings.seeds));
    m_context.directoryWakeup.notify();
    m_context.balancing.push(reloaded->settings.balancing);
    m_context.packetWakeup.notify();
    m_context.log.record(
        EventNumber::SettingsReloaded,
        QStringLiteral("taken=%1 at-next-start=%2 %3")
            .arg(reloaded->applied.join(QLatin1Char(',')), reloaded->pendingRestart.join(QLatin1Char(',')), reloaded->settings.balancing.toString()));
}

}
