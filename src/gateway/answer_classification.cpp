#include "samphiretray/gateway/answer_classification.h"

namespace samphiretray::gateway {

answer_class classify_answer(const answer_summary& answer, std::string_view attempt_id) {
    if (answer.attempt_id != attempt_id || answer.has_content_encoding) {
        return answer_class::mismatched;
    }
    if (answer.not_run) {
        return answer_class::not_run;
    }
    return answer.is_signed ? answer_class::matching : answer_class::mismatched;
}

} // namespace samphiretray::gateway
