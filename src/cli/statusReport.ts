/** `loomwinch status`: formats a summary line and tables of controllers, daemons and budgets. */
import type { FleetStatus } from "../daemons/controller/statusService.js";
import { formatTable } from "./table.js";

export function formatStatus(status: FleetStatus): string {
    return [formatSummary(status), formatControllers(status), formatDaemons(status), formatBudgets(status)].join(
        "\n\n",
    );
}

function formatSummary(status: FleetStatus): string {
    const behind = status.daemons.filter(daemon => daemon.revision < status.revision).length;
    const pairs = [
        `asked=${status.askedAt}`,
        `revision=${status.revision}`,
        `daemons_behind=${behind}`,
        `leader=${status.leader ?? "none"}`,
        `term=${status.term}`,
        `connected=${status.connected}`,
        `silent=${status.silentControllers.join(",") || "none"}`,
    ];
    return pairs.join(" ");
}

function formatControllers(status: FleetStatus): string {
    const rows = status.controllers.map(controller => [
        controller.name,
        controller.zone,
        controller.leader === controller.name ? "leader" : "follower",
        String(controller.revision),
        String(controller.connected),
        controller.ledger?.ledger ?? "-",
        String(controller.ledger?.overspent ?? 0),
    ]);
    return formatTable(["CONTROLLER", "ZONE", "STATE", "REVISION", "CONNECTED", "LEDGER", "OVERSPENT"], rows);
}

function formatDaemons(status: FleetStatus): string {
    const rows = status.daemons.map(daemon => [
        daemon.name,
        daemon.role,
        daemon.zone,
        `${daemon.revision}/${status.revision}`,
        `${daemon.silentMs}ms`,
        Object.entries(daemon.figures).map(([name, value]) => `${name}=${value}`).join(" "),
    ]);
    return formatTable(["DAEMON", "ROLE", "ZONE", "IN FORCE/WANTED", "HEARD", "FIGURES"], rows);
}

function formatBudgets(status: FleetStatus): string {
    const rows = Object.entries(status.budgets).map(([name, budget]) => [
        name,
        String(budget.toppedUp),
        String(budget.spent),
        String(budget.reserved),
        String(budget.unallocated),
        Object.entries(budget.shares).map(([ledger, tokens]) => `${ledger}=${tokens}`).join(" "),
        String(budget.unaccounted + budget.sealed),
        String(budget.replicas),
        budget.conserved ? "yes" : "NO",
    ]);
    return formatTable([
        "BUDGET",
        "TOPPED UP",
        "SPENT",
        "RESERVED",
        "UNALLOCATED",
        "SHARES",
        "UNACCOUNTED",
        "REPLICAS",
        "CONSERVED",
    ], rows);
}
