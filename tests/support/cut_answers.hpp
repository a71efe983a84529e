/// \file
/// Test support: answers in each framing, to be cut at any byte of their heads.
#pragma once

#include <string>
#include <vector>

namespace runlink::tests
{

struct framed_answer
{
    std::string head; ///< with the blank line at its end, and interim heads before it
    std::string body;

    std::string whole() const { return head + body; }
};

/// With `fields` (lines with their ends) in each final head.
inline std::vector<framed_answer> framed_answers(const std::string& fields = {})
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";
    const std::string events = "Content-Type: text/event-stream\r\n";
    return {
        {status + "Content-Length: 4\r\n" + fields + "\r\n", "body"},
        {status + fields + "Content-Length: 4\r\n\r\n", "body"},
        {status + fields + "Content-Length: 0\r\n\r\n", ""},
        {status + "Transfer-Encoding: chunked\r\n" + fields + "\r\n", chunks},
        {status + fields + "\r\n", "body"},
        {"HTTP/1.0 200 OK\r\n" + fields + "\r\n", "body"},
        {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + status + fields + "\r\n", "body"},
        {status + fields + events + "\r\n", "id: 1\ndata: a\n\n"},
        {status + fields + events + "Transfer-Encoding: chunked\r\n\r\n",
         "f\r\nid: 1\ndata: a\n\n\n\r\n0\r\n\r\n"},
    };
}

} // namespace runlink::tests
