// Compares the results of the callers with the ledgers of the backend servers and prints the
// summary of a run. Exit status 1 if a request was lost, doubled or answered wrongly.
//
// lost: no response at all, or "answered" without an entry in a ledger. doubled: a non-idempotent
// request with two starts. wrong: the response to another request, rejected, "not run" for a
// request that ran, more requests or connections than a backend server announced, or a start more
// than 3 s after leaving.
#include "base/names.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

namespace {

struct request_record {
    bool idempotent = false;
    int attempts = 0;
    int answered = 0;
    int not_run = 0;
    int unknown = 0;
    int rejected = 0;
    int cut = 0;
    int wrong = 0;
};

struct audit_records {
    std::map<std::string, request_record> requests;
    std::map<std::string, int> starts;
    int limit_violations = 0;
    int late_starts = 0;
};

void read_results(const std::filesystem::path& path, audit_records& out) {
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields(line);
        std::string id;
        std::string kind;
        std::string outcome;
        fields >> id >> kind >> outcome;
        auto& record = out.requests[id];
        record.idempotent = kind == "idempotent";
        ++record.attempts;
        record.answered += outcome == "answered" ? 1 : 0;
        record.not_run += outcome == "not-run" ? 1 : 0;
        record.unknown += outcome == "unknown" ? 1 : 0;
        record.rejected += outcome == "rejected" ? 1 : 0;
        record.cut += outcome == "cut" ? 1 : 0;
        record.wrong += outcome == "wrong" ? 1 : 0;
    }
}

void read_ledger(const std::filesystem::path& path, audit_records& out) {
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields(line);
        std::string event;
        std::string id;
        fields >> event >> id;
        if (event == "start")
            ++out.starts[id];
        else if (event == "limit")
            ++out.limit_violations;
        else if (event == "late")
            ++out.late_starts;
    }
}

// True if the request was started although all its attempts have the outcome "not-run".
bool ran_despite_not_run(const request_record& record, int starts) {
    return starts > 0 && record.not_run == record.attempts;
}

int report(const audit_records& records) {
    int answered = 0;
    int not_run = 0;
    int unknown = 0;
    int lost = 0;
    int doubled = 0;
    int wrong = records.limit_violations + records.late_starts;
    for (const auto& [id, record] : records.requests) {
        const auto it = records.starts.find(id);
        const int starts = it == records.starts.end() ? 0 : it->second;
        // A keyed request may have several attempts; it counts once, with its best outcome.
        if (record.answered > 0)
            ++answered;
        else if (record.unknown > 0)
            ++unknown;
        else if (record.not_run > 0)
            ++not_run;
        lost += record.cut > 0 || (record.answered > 0 && starts == 0) ? 1 : 0;
        doubled += !record.idempotent && starts > 1 ? 1 : 0;
        wrong += record.wrong + record.rejected + (ran_despite_not_run(record, starts) ? 1 : 0);
    }
    std::cout << "audit: limit_violations=" << records.limit_violations
              << " late_starts=" << records.late_starts << '\n';
    std::cout << "demo: requests=" << records.requests.size() << " answered=" << answered
              << " not_run=" << not_run << " unknown=" << unknown << " lost=" << lost
              << " doubled=" << doubled << " wrong=" << wrong << '\n';
    return lost + doubled + wrong == 0 && answered > 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: standin_audit FOLDER (contains *.results and *.ledger files)\n";
        return 2;
    }
    audit_records records;
    for (const auto& file : std::filesystem::directory_iterator(argv[1])) {
        if (file.path().extension() == ".results")
            read_results(file.path(), records);
        else if (file.path().extension() == ".ledger")
            read_ledger(file.path(), records);
    }
    return report(records);
}
