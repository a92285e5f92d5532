#include "standins/standinplatform.h"

#include "standins/platformstandin.h"

#include <CLI/CLI.hpp>

#include <QFile>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

using namespace Rattanpick;

namespace
{

constexpr int failureStatus = 1;

bool writePort(const std::string &path, quint16 port)
{
    if (path.empty()) {
        return true;
    }
    // Renamed into place, so that a reader never sees a part of the number.
    const QString name = QString::fromStdString(path);
    QFile file(name + QStringLiteral(".new"));
    if (!file.open(QIODevice::WriteOnly) || file.write(QByteArray::number(port)) < 0) {
        return false;
    }
    file.close();
    QFile::remove(name);
    return file.rename(name);
}

}

int runPlatformStandin(const QStringList &arguments)
{
    CLI::App app("Stands in for the configuration service.", "standin platform");
    std::string directory;
    std::string listen = "127.0.0.1:0";
    std::string portFile;
    PlatformStandInSettings settings;
    app.add_option("--directory", directory, "Holds values/NAME, instances.json and control")->required();
    app.add_option("--listen", listen, "Address and port; port 0 takes a free one");
    app.add_option("--port-file", portFile, "The port is written here");
    app.add_option("--calls-per-second", settings.callsPerSecond, "Limit for all callers together");
    std::vector<std::string> words;
    for (auto word = arguments.crbegin(); word != arguments.crend(); ++word) {
        // CLI11 takes the words in reverse order.
        words.push_back(word->toStdString());
    }
    try {
        app.parse(words);
    } catch (const CLI::ParseError &error) {
        return app.exit(error);
    }

    const QString listenText = QString::fromStdString(listen);
    const bool isAnyPort = listenText.endsWith(QLatin1String(":0"));
    const std::optional<Endpoint> endpoint = Endpoint::fromString(isAnyPort ? listenText.chopped(1) + QLatin1Char('1') : listenText);
    if (!endpoint) {
        std::cerr << "malformed address: " << listen << '\n';
        return failureStatus;
    }
    settings.directory = QString::fromStdString(directory);
    settings.listen = {endpoint->address, isAnyPort ? quint16{0} : endpoint->port};

    // Blocked before the threads start, so that only sigwait() below sees the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    PlatformStandIn standIn(settings);
    if (!standIn.start()) {
        std::cerr << standIn.lastError().toStdString() << '\n';
        return failureStatus;
    }
    if (!writePort(portFile, standIn.endpoint().port)) {
        std::cerr << "cannot write the port file " << portFile << '\n';
        return failureStatus;
    }
    std::cout << "platform stand-in listens on " << standIn.endpoint().toString().toStdString() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
