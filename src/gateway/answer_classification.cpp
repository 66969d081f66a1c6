#include "samphiretray/gateway/answer_classification.h"

namespace samphiretray::gateway {

answer_verdict judge_answer(const answer_summary& head, std::string_view attempt_id) {
    if (head.attempt_id != attempt_id || head.is_encoded) {
        return answer_verdict::foreign;
    }
    if (head.not_run) {
        return answer_verdict::not_run;
    }
    return head.is_signed ? answer_verdict::own : answer_verdict::foreign;
}

} // namespace samphiretray::gateway
