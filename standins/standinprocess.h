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

/// What the stand-in programs share: stop signals, JSON lines and draws by percentage.
class StandInProcess
{
public:
    /// From now on SIGTERM and SIGINT only set shouldStop().
    static void handleStopSignals();

    /// Whether a stop signal has come.
    static bool shouldStop();

    /// Parses an endpoint of the command line; ends the program with a message if it is none.
    static Endpoint endpointOrExit(const std::string &text);
};

/// A file of JSON lines; each line is on disk when write() returns.
class JsonLines
{
public:
    /// Opens the file for appending; an empty name writes nothing.
    explicit JsonLines(const std::string &fileName);

    /// Appends the object, with the wall clock in milliseconds as "wall".
    void write(QJsonObject object);

private:
    QFile m_file;
};

/// True in the given percentage of draws.
bool drawPercent(std::mt19937_64 &random, int percent);

/// One part of the answer that a target gives to a request with this body.
///
/// The caller computes it too, so that a part of another answer does not go unnoticed.
QByteArray answerPart(const QByteArray &requestBody, int part);

/// The number of parts of the answer to a request with this body, 1 to 4.
int answerParts(const QByteArray &requestBody);

}
