#include "samphiretray/gateway/answer_classification.h"

namespace samphiretray::gateway {

answer_class classify_answer(const answer_summary& head, std::string_view attempt_id) {
    if (head.attempt_id != attempt_id || head.has_content_encoding) {
        return answer_class::mismatched;
    }
    if (head.not_run) {
        return answer_class::not_run;
    }
    return head.is_signed ? answer_class::matching : answer_class::mismatched;
}

} // namespace samphiretray::gateway
