// Entry point of every CppUnit test program. Runs all registered cases, or only those whose name
// contains the first argument. Cases listed as "test: SUITE::CASE" in the file that
// CLEMENTINE_KNOWN_RED names are printed and skipped.
#include "base/invariant.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

std::vector<std::string> read_known_failures() {
    constexpr std::string_view prefix = "test: ";
    std::vector<std::string> out;
    const char* path = std::getenv("CLEMENTINE_KNOWN_RED");
    std::ifstream in(path == nullptr ? "" : path);
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(prefix))
            out.push_back(line.substr(prefix.size()));
    }
    return out;
}

void collect_cases(CppUnit::Test& test, std::vector<CppUnit::Test*>& out) {
    if (test.getChildTestCount() == 0)
        out.push_back(&test);
    for (int i = 0; i < test.getChildTestCount(); ++i)
        collect_cases(*test.getChildTestAt(i), out);
}

bool is_known_failure(const std::string& name, const std::vector<std::string>& known) {
    for (const auto& entry : known) {
        if (name.ends_with(entry))
            return true;
    }
    return false;
}

} // namespace

int main(int argc, char** argv) {
    // A violated invariant aborts the test program.
    clementine::set_invariant_action(clementine::invariant_action::abort);
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    const std::unique_ptr<CppUnit::Test> root(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::vector<CppUnit::Test*> cases;
    collect_cases(*root, cases);
    const auto known_failures = read_known_failures();
    const std::string filter = argc > 1 ? argv[1] : "";
    for (auto* test : cases) {
        if (is_known_failure(test->getName(), known_failures))
            std::cout << "known red, not run: " << test->getName() << '\n';
        else if (test->getName().find(filter) != std::string::npos)
            test->run(&controller);
    }
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const bool any_run = collector.runTests() > 0;
    return any_run && collector.wasSuccessful() ? 0 : 1;
}
