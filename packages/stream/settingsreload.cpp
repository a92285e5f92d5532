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
    // A file that is refused is reported once, not at each look.
    m_text = text;
    StreamProcessSettingsReader reader(m_file);
    std::optional<StreamProcessSettings> offered = reader.read(text);
    if (!offered) {
        m_findings = reader.findings();
        return std::nullopt;
    }
    ReloadedSettings reloaded{m_settings, {}, {}};
    const auto take = [&reloaded, &offered](const char *name, auto member) {
        if (reloaded.settings.*member != (*offered).*member) {
            reloaded.settings.*member = (*offered).*member;
            reloaded.applied.append(QLatin1String(name));
        }
    };
    take("log-level", &StreamProcessSettings::logLevel);
    take("seeds", &StreamProcessSettings::seeds);
    const auto wait = [&reloaded, &offered](const char *name, auto member) {
        if (reloaded.settings.*member != (*offered).*member) {
            reloaded.pendingRestart.append(QLatin1String(name));
        }
    };
    wait("name", &StreamProcessSettings::name);
    wait("role", &StreamProcessSettings::role);
    wait("data-centre", &StreamProcessSettings::dataCentre);
    wait("callers", &StreamProcessSettings::callers);
    wait("outbound", &StreamProcessSettings::outbound);
    wait("bind-address", &StreamProcessSettings::bindAddress);
    wait("messages", &StreamProcessSettings::messages);
    wait("ready", &StreamProcessSettings::ready);
    wait("metrics", &StreamProcessSettings::metrics);
    wait("spread", &StreamProcessSettings::spread);
    wait("control", &StreamProcessSettings::control);
    wait("store", &StreamProcessSettings::directory);
    wait("address", &StreamProcessSettings::target);
    wait("service", &StreamProcessSettings::service);
    wait("cold-factor", &StreamProcessSettings::coldFactor);
    wait("cold-slack", &StreamProcessSettings::coldSlack);
    wait("stop-grace-seconds", &StreamProcessSettings::stopGrace);
    wait("maximum-age-seconds", &StreamProcessSettings::maximumFlowAge);
    m_settings = reloaded.settings;
    return reloaded;
}

}
