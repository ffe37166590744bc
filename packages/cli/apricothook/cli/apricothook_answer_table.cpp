#include <apricothook/cli/apricothook_answer_table.hpp>

#include <apricothook/text/apricothook_printable.hpp>

#include <json/writer.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

namespace {

constexpr std::size_t MaximumCellBytes = 200;

/** Columns that come first where they are there; the rest follows by name. */
constexpr std::array<std::string_view, 10> FirstColumns
    = {"at",         "step",       "id",          "service", "state",
       "dataCentre", "generation", "incarnation", "steward", "floor"};

using Row = std::vector<std::string>;

std::string cellOf(const Json::Value &value)
{
    if (value.isNull())
        return "-";
    if (value.isString())
        return printable(value.asString(), MaximumCellBytes);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return printable(Json::writeString(builder, value), MaximumCellBytes);
}

bool isTable(const Json::Value &value)
{
    return value.isArray() && !value.empty() && value[0].isObject();
}

std::size_t rankOf(const std::string &column)
{
    const auto found = std::find(FirstColumns.begin(), FirstColumns.end(), column);
    return static_cast<std::size_t>(found - FirstColumns.begin());
}

std::vector<std::string> columnsOf(const Json::Value &list)
{
    std::vector<std::string> columns;
    for (const Json::Value &entry : list) {
        if (!entry.isObject())
            continue;
        for (const std::string &name : entry.getMemberNames()) {
            if (std::find(columns.begin(), columns.end(), name) == columns.end())
                columns.push_back(name);
        }
    }
    std::sort(columns.begin(), columns.end(), [](const std::string &one, const std::string &other) {
        return std::pair(rankOf(one), one) < std::pair(rankOf(other), other);
    });
    return columns;
}

Row rowOf(const Json::Value &entry, const std::vector<std::string> &columns)
{
    Row row;
    for (const std::string &column : columns)
        row.push_back(entry.isObject() ? cellOf(entry[column]) : "-");
    return row;
}

void printRow(std::ostream &stream, const Row &row, const std::vector<std::size_t> &widths)
{
    std::string line = "  ";
    for (std::size_t column = 0; column < row.size(); ++column) {
        line += row[column];
        if (column + 1 < row.size())
            line.append(widths[column] + 2 - row[column].size(), ' ');
    }
    stream << line << '\n';
}

void printTable(std::ostream &stream, const std::string &name, const Json::Value &list)
{
    const std::vector<std::string> columns = columnsOf(list);
    std::vector<Row> rows;
    Row &header = rows.emplace_back();
    for (const std::string &column : columns)
        header.push_back(printable(column));
    for (const Json::Value &entry : list)
        rows.push_back(rowOf(entry, columns));
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const Row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    stream << '\n' << printable(name) << " (" << list.size() << ")\n";
    for (const Row &row : rows)
        printRow(stream, row, widths);
}

} // namespace

void printAnswer(std::ostream &stream, const Json::Value &answer)
{
    for (const std::string &name : answer.getMemberNames()) {
        if (!isTable(answer[name]))
            stream << printable(name) << ": " << cellOf(answer[name]) << '\n';
    }
    for (const std::string &name : answer.getMemberNames()) {
        if (isTable(answer[name]))
            printTable(stream, name, answer[name]);
    }
}

} // namespace Apricothook
