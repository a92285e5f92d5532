#include "stream/settingsreload.h"

#include "stream/streamprocesssettingsreader.h"

namespace Rattanpick
{

SettingsReload::SettingsReload(const QString &file, const StreamProcessSettings &settings, const QByteArray &text)
    : m_file(file)
    , m_settings(settings)
    , m_text(text)
{
}

std::optional<ReloadedSettings> SettingsReload::offer(const QByteArray &text)
{
    m_findings.clear();
    if (text == m_text) {
        return std::nullopt;
    }
    // A file that is rejected is reported once and not at every check.
    m_text = text;
    StreamProcessSettingsReader reader(m_file);
    std::optional<StreamProcessSettings> offered = reader.read(text);
    if (!offered) {
        m_findings = reader.findings();
        return std::nullopt;
    }
    ReloadedSettings reloaded{m_settings, {}, {}};
    const auto applyIfChanged = [&reloaded, &offered](const char *name, auto member) {
        if (reloaded.settings.*member != (*offered).*member) {
            reloaded.settings.*member = (*offered).*member;
            reloaded.applied.append(QLatin1String(name));
        }
    };
    applyIfChanged("log-level", &StreamProcessSettings::logLevel);
    applyIfChanged("seeds", &StreamProcessSettings::seeds);
    applyIfChanged("balancing", &StreamProcessSettings::balancing);
    const auto deferIfChanged = [&reloaded, &offered](const char *name, auto member) {
        if (reloaded.settings.*member != (*offered).*member) {
            reloaded.pendingRestart.append(QLatin1String(name));
        }
    };
    deferIfChanged("name", &StreamProcessSettings::name);
    deferIfChanged("role", &StreamProcessSettings::role);
    deferIfChanged("data-centre", &StreamProcessSettings::dataCentre);
    deferIfChanged("callers", &StreamProcessSettings::callers);
    deferIfChanged("outbound", &StreamProcessSettings::outbound);
    deferIfChanged("bind-address", &StreamProcessSettings::bindAddress);
    deferIfChanged("messages", &StreamProcessSettings::messages);
    deferIfChanged("ready", &StreamProcessSettings::ready);
    deferIfChanged("metrics", &StreamProcessSettings::metrics);
    deferIfChanged("spread", &StreamProcessSettings::spread);
    deferIfChanged("control", &StreamProcessSettings::control);
    deferIfChanged("store", &StreamProcessSettings::directory);
    deferIfChanged("address", &StreamProcessSettings::target);
    deferIfChanged("service", &StreamProcessSettings::service);
    deferIfChanged("cold-factor", &StreamProcessSettings::coldFactor);
    deferIfChanged("cold-slack", &StreamProcessSettings::coldSlack);
    deferIfChanged("stop-grace-seconds", &StreamProcessSettings::stopGrace);
    deferIfChanged("maximum-age-seconds", &StreamProcessSettings::maximumFlowAge);
    m_settings = reloaded.settings;
    return reloaded;
}

}
