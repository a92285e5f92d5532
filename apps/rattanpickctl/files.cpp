#include "files.h"

#include <QFile>
#include <QSaveFile>

namespace Rattanpick
{

std::optional<QByteArray> readFile(const std::string &path, QTextStream &err)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly)) {
        err << file.fileName() << ": " << file.errorString() << '\n';
        return std::nullopt;
    }
    return file.readAll();
}

bool writeFile(const std::string &path, const QByteArray &content, QTextStream &err)
{
    QSaveFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::WriteOnly) || file.write(content) != content.size() || !file.commit()) {
        err << file.fileName() << ": " << file.errorString() << '\n';
        return false;
    }
    return true;
}

void printFindings(const Findings &findings, QTextStream &stream)
{
    for (const Finding &finding : findings) {
        stream << finding.toString() << '\n';
    }
}

}
