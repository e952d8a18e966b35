#include "ctl/command.h"

#include <iostream>

int main(int argc, char **argv)
{
    try {
        return briarhead::runCommand(docopt::docopt_parse(briarhead::commandUsage, {argv + 1, argv + argc}));
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << briarhead::commandUsage;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "briarheadctl 0.1.0\n";
    } catch (const std::runtime_error &) {
        std::cerr << "briarheadctl: The arguments do not match any command. 'briarheadctl --help' lists the "
                     "commands.\n";
        return static_cast<int>(briarhead::exit_code::Usage);
    }
    return 0;
}
