#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace briarhinge::tests
{

/** A temporary folder that is removed with its content in the destructor. */
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "briarhinge-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }

    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

}
