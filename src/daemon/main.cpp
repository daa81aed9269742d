#include "daemon/Daemon.h"

#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
ABSL_FLAG(bool, check, false, "check the settings and exit");

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("tamarackseamd --settings FILE [--check]\n"
                                 "Runs one process of the request scheduler: an entry, or the "
                                 "process beside one upstream.");
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("tamarackseamd " TAMARACK_VERSION "\n"); };
    absl::SetFlagsUsageConfig(config);
    absl::ParseCommandLine(argc, argv);
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "--settings is required\n";
        return 2;
    }
    if (absl::GetFlag(FLAGS_check))
        return tamarack::checkSettings(path);
    return tamarack::runDaemon(path);
}
