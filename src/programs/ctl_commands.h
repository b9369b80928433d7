#pragma once

#include <memory>
#include <optional>

#include "ctl_nodes.h"
#include "ctl_options.h"
#include "ctl_output.h"
#include "ctl_wait.h"
#include "fulmarledge/rollout.h"
#include "httpstore.h"
#include "ioloop.h"
#include "metrics.h"

namespace fulmarledge {

/// Runs one command of fulmarledgectl on an event loop of its own.
class CtlCommands
{
public:
    explicit CtlCommands(CtlOptions options);
    ~CtlCommands();

    /// Blocks until the command is done and its result is printed.
    ExitCode run();

private:
    ExitCode check();
    void submitOrRevert();
    void history();
    void status();
    void explain();
    void rollout();

    void startRollout(const RolloutOrder &order, const std::string &digest);
    void checkService(const RolloutOrder &order, const StoreReply &manifest);
    void writeOrder(const RolloutOrder &order, const StoreReply &orders);
    void onOrderWritten(const RolloutOrder &order, const StoreReply &reply);
    void printRollouts(const StoreReply &reply);
    /// Ends the command because a call to the platform failed.
    void finishUnavailable(const StoreReply &reply);
    void startSubmission(SubmissionRequest request);
    void tickSubmission();
    void onSubmitted(const SubmissionResult &result);
    void onWaitFinished(const SubmissionResult &result, const WaitResult &wait);
    void printHistory(const StoreReply &reply);
    void printStatus(const std::vector<NodeAnswer> &answers);
    void explainHost(const MemberRow &member);
    void explainService(const std::string &membersFailure);
    void printService(const nlohmann::json &document);
    void finish(ExitCode code);

    CtlOptions m_options;
    CtlOutput m_output;
    IoLoop m_loop;
    HttpClient m_client;
    Metrics m_metrics;
    HttpStore m_store;
    NodeQuery m_query;
    std::unique_ptr<RandomSource> m_random;
    std::unique_ptr<Submission> m_submission;
    std::unique_ptr<ConvergenceWait> m_wait;
    std::string m_submissionId;
    std::optional<ExitCode> m_exitCode;
};

} // namespace fulmarledge
