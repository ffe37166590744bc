#include <apricothook/requests/internal/apricothook_key_state_document.hpp>

#include <json/json.h>

namespace Apricothook {

namespace {

const char *stateName(InquiryStep::Progress progress)
{
    switch (progress) {
    case InquiryStep::Progress::NotRun:
        return "not-run";
    case InquiryStep::Progress::Running:
        return "running";
    case InquiryStep::Progress::Answered:
        return "answered";
    default:
        return "unknown";
    }
}

} // namespace

void writeStateDocument(const RequestKey &callerKey, InquiryStep::Progress progress,
                        AnswerStream &stream)
{
    Json::Value document;
    document["key"] = callerKey.text();
    document["state"] = stateName(progress);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    stream.begin({200, {{"Content-Type", "application/json"}}});
    stream.append(Json::writeString(writer, document));
    stream.finish();
}

} // namespace Apricothook
