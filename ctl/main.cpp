#include "Commands.h"

#include <cstdlib>
#include <iostream>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

ABSL_FLAG(std::string, admin, "127.0.0.1:8081",
          "IP:PORT of the administration interface of any entry");
ABSL_FLAG(std::string, token, "", "operator's token; else the variable TAMARACK_TOKEN");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(bool, wait, false, "return when every live process confirms the change");
ABSL_FLAG(std::string, against, "", "check: compare with this file, or live: with the store's");
ABSL_FLAG(std::string, store, "", "IP:PORT of the platform's store, for --against=live");
ABSL_FLAG(int, timeout, 30, "seconds that --wait waits at most");

int main(int argc, char **argv)
{
    using namespace tamarack;
    absl::SetProgramUsageMessage("tamarackseamctl [flags] COMMAND\n\n" + ctl::commandHelp());
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("tamarackseamctl " TAMARACK_VERSION "\n"); };
    absl::SetFlagsUsageConfig(usage);
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(arguments.begin() + 1, arguments.end());
    const std::string output = absl::GetFlag(FLAGS_output);
    const auto entry = parseEndpoint(absl::GetFlag(FLAGS_admin));
    if (!entry || (output != "table" && output != "json")) {
        std::cerr << (entry ? "--output must be table or json\n" : "--admin must be IP:PORT\n");
        return errorAnswer(ErrorKind::BadRequest).exitCode;
    }
    std::string token = absl::GetFlag(FLAGS_token);
    const char *fromEnvironment = std::getenv("TAMARACK_TOKEN");
    if (token.empty() && fromEnvironment)
        token = fromEnvironment;
    ctl::AdminClient client(*entry, token);
    const ctl::CommandOptions options{output == "json", absl::GetFlag(FLAGS_wait),
                                      absl::GetFlag(FLAGS_timeout), absl::GetFlag(FLAGS_against),
                                      parseEndpoint(absl::GetFlag(FLAGS_store))};
    return ctl::runCommand(client, options, words);
}
