#pragma once

#include <string>

namespace Apricothook {

/** The tables of the fault matrix as Markdown: docs/FAULT-MATRIX.md. */
std::string faultMatrixPage();

} // namespace Apricothook
