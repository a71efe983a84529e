/// \file
/// Locates and reads the session scripts and their golden files.
#pragma once

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace runlink::tests
{

inline std::string read_text(const std::filesystem::path& path)
{
    std::ifstream in{path};
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

/// Returns the session scripts in `directory`, sorted by path.
inline std::vector<std::filesystem::path>
session_scripts(const std::filesystem::path& directory = RUNLINK_GOLDEN_DIR)
{
    std::vector<std::filesystem::path> out;
    for (const auto& it : std::filesystem::directory_iterator{directory})
        if (it.path().extension() == ".session")
            out.push_back(it.path());
    std::sort(out.begin(), out.end());
    return out;
}

inline std::filesystem::path golden_of(std::filesystem::path script)
{
    return script.replace_extension(".golden");
}

} // namespace runlink::tests
