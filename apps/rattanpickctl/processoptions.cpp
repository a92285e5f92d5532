#include "processoptions.h"

#include "files.h"

namespace Rattanpick
{

namespace
{

constexpr int minimumTimeoutMilliseconds = 10;
constexpr int maximumTimeoutMilliseconds = 60000;

bool appendEndpoint(const QString &text, const QString &place, QList<Endpoint> &endpoints, QTextStream &err)
{
    const std::optional<Endpoint> endpoint = Endpoint::fromString(text);
    if (!endpoint.has_value()) {
        err << place << ": \"" << text << "\" is not an address and port (allowed: such as 127.0.0.1:7000)\n";
        return false;
    }
    endpoints.append(*endpoint);
    return true;
}

}

void ProcessOptions::addTo(CLI::App &command)
{
    command.add_option("--admin", m_admins, "Admin interfaces to query, each as IP:PORT")->type_name("IP:PORT")->delimiter(',');
    command.add_option("--instances", m_instancesFile, "File with one admin interface IP:PORT a line; # starts a comment")->type_name("FILE");
    command.add_option("--timeout", m_timeoutMilliseconds, "Longest wait for one process, in milliseconds")
        ->type_name("MS")
        ->check(CLI::Range(minimumTimeoutMilliseconds, maximumTimeoutMilliseconds))
        ->capture_default_str();
}

std::optional<QList<Endpoint>> ProcessOptions::endpoints(QTextStream &err) const
{
    QList<Endpoint> endpoints;
    bool isValid = true;
    for (const std::string &admin : m_admins) {
        isValid = appendEndpoint(QString::fromStdString(admin), QStringLiteral("--admin"), endpoints, err) && isValid;
    }
    if (!m_instancesFile.empty()) {
        const std::optional<QByteArray> content = readFile(m_instancesFile, err);
        if (!content.has_value()) {
            return std::nullopt;
        }
        int line = 0;
        for (const QByteArray &raw : content->split('\n')) {
            ++line;
            const QString text = QString::fromUtf8(raw.left(raw.contains('#') ? raw.indexOf('#') : raw.size())).trimmed();
            const QString place = QStringLiteral("%1:%2").arg(QString::fromStdString(m_instancesFile), QString::number(line));
            isValid = (text.isEmpty() || appendEndpoint(text, place, endpoints, err)) && isValid;
        }
    }
    return isValid ? std::optional(endpoints) : std::nullopt;
}

}
