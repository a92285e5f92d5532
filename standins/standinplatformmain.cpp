#include "standins/standinplatform.h"

int main(int argc, char **argv)
{
    QStringList arguments;
    for (int index = 1; index < argc; ++index) {
        arguments.append(QString::fromLocal8Bit(argv[index]));
    }
    return runPlatformStandin(arguments);
}
