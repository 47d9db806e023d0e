// Checks across the sections of a manifest. Internal to the manifest library.
#pragma once

#include "manifest/manifest.h"

namespace clementine::manifest {

// Reports references to undefined names and hosts that belong to two services.
void check_references(const ini_document& document, parse_result& result);

// Reports inconsistent sizes of availability budgets, pools, quotas, the spare pool and jobs.
void check_sizes(const ini_document& document, parse_result& result);

} // namespace clementine::manifest
