#include "runlink/core/contact.hpp"

namespace runlink::core
{

std::string_view to_string(contact it)
{
    switch (it)
    {
    case contact::answered: return "answered";
    case contact::refused: return "refused";
    case contact::silent: return "silent";
    }
    return "unknown";
}

} // namespace runlink::core
