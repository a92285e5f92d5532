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

bool writePortFile(const std::string &path, quint16 port)
{
    if (path.empty()) {
        return true;
    }
    // The file is renamed into place, so that a reader never sees part of the number.
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
    CLI::App app("Stand-in for the configuration service.", "standin platform");
    std::string directory;
    std::string listen = "127.0.0.1:0";
    std::string portFile;
    PlatformStandInSettings settings;
    app.add_option("--directory", directory, "Directory with values/NAME, instances.json and control")->required();
    app.add_option("--listen", listen, "Address and port; port 0 selects a free port");
    app.add_option("--port-file", portFile, "File to write the port to");
    app.add_option("--calls-per-second", settings.callsPerSecond, "Limit of calls per second for all callers together");
    std::vector<std::string> reversedArguments;
    for (auto argument = arguments.crbegin(); argument != arguments.crend(); ++argument) {
        // CLI11 expects the arguments in reverse order.
        reversedArguments.push_back(argument->toStdString());
    }
    try {
        app.parse(reversedArguments);
    } catch (const CLI::ParseError &error) {
        return app.exit(error);
    }

    const QString listenText = QString::fromStdString(listen);
    const bool isFreePortRequested = listenText.endsWith(QLatin1String(":0"));
    const std::optional<Endpoint> endpoint = Endpoint::fromString(isFreePortRequested ? listenText.chopped(1) + QLatin1Char('1') : listenText);
    if (!endpoint) {
        std::cerr << "malformed address: " << listen << '\n';
        return failureStatus;
    }
    settings.directory = QString::fromStdString(directory);
    settings.listen = {endpoint->address, isFreePortRequested ? quint16{0} : endpoint->port};

    // The signals are blocked before any thread starts, so that only sigwait() below receives them.
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
    if (!writePortFile(portFile, standIn.endpoint().port)) {
        std::cerr << "cannot write the port file " << portFile << '\n';
        return failureStatus;
    }
    std::cout << "platform stand-in listens on " << standIn.endpoint().toString().toStdString() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
