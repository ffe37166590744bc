#pragma once

#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <string_view>

namespace Apricothook {

/** How one exchange ended. */
struct ExchangeEnd
{
    /** True when the answer came to its end as its framing announced it. */
    bool isWhole = false;
    /** False: no byte of the request left this process. */
    bool wasSent = false;
};

enum class BodyVerdict {
    Taken,
    Pause, ///< Nothing was taken; given again after HttpExchange::resume().
    Abort,
};

/** Who wants to know of an HttpExchange; called in the loop's thread. */
class HttpExchangeOwner
{
public:
    virtual ~HttpExchangeOwner() = default;
    /** Asked once, when the connection stands and before the first byte leaves; false ends it. */
    virtual bool mayBegin() = 0;
    /** The whole request was handed to the connection, or more of it was. */
    virtual void onSent() = 0;
    virtual void onHead(const AnswerHead &head) = 0;
    virtual BodyVerdict onBody(std::string_view bytes) = 0;
    /** The exchange may be destroyed in here. Not called for one that was destroyed before. */
    virtual void onEnded(const ExchangeEnd &end) = 0;
};

} // namespace Apricothook
