#pragma once

#include <apricothook/text/apricothook_text_error.hpp>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

/** Reads a file of the repository. */
inline std::string readTestFile(const std::string &name)
{
    std::ifstream file(std::string(APRICOTHOOK_SOURCE_DIR "/") + name, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

inline std::string toldErrors(const std::vector<Apricothook::TextError> &errors)
{
    std::ostringstream told;
    Apricothook::printTextErrors(told, "text", errors);
    return told.str();
}
