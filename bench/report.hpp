/// \file
/// Results of the experiments: a table for people, JSON for programs.
#pragma once

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "runlink/app/tables.hpp"

namespace runlink::bench
{

/// Collects rows, each with the same columns.
class report
{
public:
    explicit report(std::vector<std::string> columns) { rows_.push_back(std::move(columns)); }

    void add(const std::vector<nlohmann::json>& cells)
    {
        std::vector<std::string> row;
        nlohmann::json object;
        for (std::size_t n = 0; n < cells.size(); ++n)
        {
            row.push_back(text_of(cells[n]));
            object[rows_.front().at(n)] = cells[n];
        }
        table_.push_back(std::move(row));
        json_.push_back(std::move(object));
    }

    /// Prints the table, and writes the JSON where a file is named.
    void finish(const std::string& title, const std::string& path) const
    {
        auto rows = rows_;
        rows.insert(rows.end(), table_.begin(), table_.end());
        std::cout << title << "\n" << app::format_table(rows) << std::endl;
        if (!path.empty())
            std::ofstream{path, std::ios::app} << nlohmann::json{{"title", title}, {"rows", json_}}.dump()
                                               << "\n";
    }

private:
    static std::string text_of(const nlohmann::json& it)
    {
        if (it.is_string())
            return it.get<std::string>();
        if (!it.is_number_float())
            return it.dump();
        char buf[32];
        std::snprintf(buf, sizeof buf, "%.4g", it.get<double>());
        return buf;
    }

    std::vector<std::vector<std::string>> rows_;
    std::vector<std::vector<std::string>> table_;
    nlohmann::json json_ = nlohmann::json::array();
};

} // namespace runlink::bench
