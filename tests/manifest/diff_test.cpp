// Guards against changes that `diff` omits or reports wrongly.
#include "manifest/diff.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace clementine;
using namespace clementine::manifest;

parse_result load(const std::string& name) {
    const auto text = read_file(std::string(EXAMPLES_DIR) + "/" + name + ".ini");
    CPPUNIT_ASSERT(text.has_value());
    auto result = parse_manifest(*text);
    CPPUNIT_ASSERT(result.ok());
    return result;
}

class diff_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(diff_test);
    CPPUNIT_TEST(diff_lists_each_change);
    CPPUNIT_TEST(canonical_text_round_trips);
    CPPUNIT_TEST_SUITE_END();

  public:
    void diff_lists_each_change() {
        const auto before = load("small").value;
        auto after = before;
        after.pools[0].size = 11;
        after.workspaces.pop_back();
        after.teams.push_back({"press", 8, false});
        after.services[1].non_idempotent_methods.clear();
        std::string lines;
        for (const auto& item : diff(before, after))
            lines += format_change(item) + '\n';
        CPPUNIT_ASSERT_EQUAL(
            std::string("- [workspace shop]\n"
                        "~ [service tickets] non-idempotent-methods: POST -> none\n"
                        "~ [pool previews] size: 12 -> 11\n"
                        "+ [team press]\n"),
            lines);
    }

    // A key missing from the canonical text would appear as a difference.
    void canonical_text_round_trips() {
        for (const std::string name : {"small", "deployment-a", "deployment-b"}) {
            const auto first = load(name).value;
            const auto again = parse_manifest(format_manifest(first));
            CPPUNIT_ASSERT(again.ok());
            CPPUNIT_ASSERT(diff(first, again.value).empty());
            CPPUNIT_ASSERT_EQUAL(format_manifest(first), format_manifest(again.value));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(diff_test);

} // namespace
