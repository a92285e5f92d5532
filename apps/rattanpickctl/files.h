#pragma once

#include "core/finding.h"

#include <QByteArray>
#include <QTextStream>

#include <optional>
#include <string>

namespace Rattanpick
{

/// The content of a file; nothing, with a line on @p err, if it cannot be read.
std::optional<QByteArray> readFile(const std::string &path, QTextStream &err);

/// Writes a file atomically; false, with a line on @p err, if that fails.
bool writeFile(const std::string &path, const QByteArray &content, QTextStream &err);

/// Prints one line for each finding.
void printFindings(const Findings &findings, QTextStream &stream);

}
