/// \file
/// Reports benchmark results as a text table and as JSON.
#pragma once

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "runlink/app/tables.hpp"

namespace runlink::bench
{

/// Collects rows of results. All rows have the columns given to the constructor.
class report
{
public:
    explicit report(std::vector<std::string> columns) { header_.push_back(std::move(columns)); }

    /// Adds a row with one cell for each column, in the order of the columns.
    void add_row(const std::vector<nlohmann::json>& cells)
    {
        std::vector<std::string> row;
        nlohmann::json object;
        for (std::size_t n = 0; n < cells.size(); ++n)
        {
            row.push_back(text_of(cells[n]));
            object[header_.front().at(n)] = cells[n];
        }
        rows_.push_back(std::move(row));
        json_rows_.push_back(std::move(object));
    }

    /// Prints the table to standard output. Unless `path` is empty, also appends the rows to that file as one
    /// line of JSON.
    void finish(const std::string& title, const std::string& path) const
    {
        auto rows = header_;
        rows.insert(rows.end(), rows_.begin(), rows_.end());
        std::cout << title << "\n" << app::format_table(rows) << std::endl;
        if (!path.empty())
            std::ofstream{path, std::ios::app}
                << nlohmann::json{{"title", title}, {"rows", json_rows_}}.dump() << "\n";
    }

private:
    static std::string text_of(const nlohmann::json& cell)
    {
        if (cell.is_string())
            return cell.get<std::string>();
        if (!cell.is_number_float())
            return cell.dump();
        char buf[32];
        std::snprintf(buf, sizeof buf, "%.4g", cell.get<double>());
        return buf;
    }

    std::vector<std::vector<std::string>> header_; ///< a single row with the column names
    std::vector<std::vector<std::string>> rows_;
    nlohmann::json json_rows_ = nlohmann::json::array();
};

} // namespace runlink::bench
