#pragma once

#include <core/endpoint.h>

#include <QByteArray>
#include <QFile>
#include <QJsonObject>
#include <QString>

#include <random>
#include <string>

namespace Rattanpick
{

/// Stop signals and command-line parsing of the stand-in programs.
class StandInProcess
{
public:
    /// Installs handlers for SIGTERM and SIGINT, after which a signal only makes shouldStop() return true.
    static void handleStopSignals();

    /// Whether a stop signal was received.
    static bool shouldStop();

    /// Parses an endpoint given on the command line; exits with a message if it is malformed.
    static Endpoint endpointOrExit(const std::string &text);
};

/// A file of JSON lines; each line is flushed to the file before write() returns.
class JsonLines
{
public:
    /// Opens the file for appending. With an empty name nothing is written.
    explicit JsonLines(const std::string &fileName);

    /// Appends the object with the additional member "wall", the wall-clock time in milliseconds since the epoch.
    void write(QJsonObject object);

private:
    QFile m_file;
};

/// Returns true with the given probability in percent.
bool drawPercent(std::mt19937_64 &random, int percent);

/// One part of a target's answer to a request with this body.
///
/// The caller computes it as well, which detects parts that belong to another answer.
QByteArray answerPart(const QByteArray &requestBody, int part);

/// The number of parts of the answer to a request with this body, from 1 to 4.
int answerParts(const QByteArray &requestBody);

}
