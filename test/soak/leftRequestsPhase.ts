/** Callers leave while routers are paused or short of CPU time: no upstream begins to work for them later, or goes on. */
import { LeavingCaller } from "../tools/leavingCaller.js";
import { wait } from "../tools/waiting.js";
import type { SoakBox } from "./soakBox.js";
import { SoakAccounts } from "./soakCallers.js";
import { LONG_STREAM_PATH, type RunBook } from "./soakEngine.js";

const CALLERS = 16;
const DEADLINE_MS = 3_000;
/** Relays connections, and closes none unread. */
const BUSY_FRACTION = 0.8;
const BUSY_MS = 2_000;
const LEAVE_AFTER_MS = 100;
const PAUSE_MS = 900;
const SETTLE_MS = 700;
const STREAM_MS = 400;
const STREAM_TOKENS = 600;
/** After which no upstream may begin to work for a caller that has left, nor go on. */
const GONE_MS = 500;
const ACCOUNT = SoakAccounts[1];

/** `ports`: where callers reach each router. `ids`: of all requests that were sent. Returns the promises that were broken. */
export async function checkLeftRequests(
    ports: readonly number[],
    ids: Set<string>,
    book: RunBook,
    routers: readonly SoakBox[],
    random: () => number,
): Promise<string[]> {
    const play = new LeftRequestsPlay(ports, ids, book);
    const [busy, other] = [Math.floor(random() * routers.length), Math.floor(random() * routers.length)];
    routers[busy]!.setFaults({ busyFraction: BUSY_FRACTION });
    await wait(BUSY_MS);
    await play.pause(routers, busy);
    await play.pause(routers, other);
    await play.leaveStreams();
    routers[busy]!.setFaults({ busyFraction: 0 });
    return play.listBroken();
}

class LeftRequestsPlay {
    private readonly callers = new Map<string, LeavingCaller>();

    constructor(
        private readonly ports: readonly number[],
        private readonly ids: Set<string>,
        private readonly book: RunBook,
    ) {}

    /** Callers send while a router is paused, and leave before it goes on. */
    async pause(routers: readonly SoakBox[], router: number): Promise<void> {
        routers[router]!.signal("SIGSTOP");
        const callers = Array.from({ length: CALLERS }, () => this.createCaller(router));
        callers.forEach(caller => caller.send("/l/x", DEADLINE_MS));
        await wait(LEAVE_AFTER_MS);
        callers.forEach(caller => caller.leave());
        await wait(PAUSE_MS);
        routers[router]!.signal("SIGCONT");
        await wait(SETTLE_MS);
    }

    /** Callers leave long streams at all routers, one of which is short of CPU time. */
    async leaveStreams(): Promise<void> {
        const callers = Array.from({ length: CALLERS }, (_, i) => this.createCaller(i % this.ports.length));
        callers.forEach(caller => caller.send(LONG_STREAM_PATH, DEADLINE_MS, STREAM_TOKENS));
        await wait(STREAM_MS);
        callers.forEach(caller => caller.leave());
        await wait(2 * GONE_MS);
    }

    listBroken(): string[] {
        return this.book.runs.flatMap(({ id, at, endedAt = Infinity }) => {
            const leftAt = this.callers.get(id)?.leftAt;
            if (leftAt === undefined || endedAt - leftAt <= GONE_MS) {
                return [];
            }
            return at - leftAt > GONE_MS
                ? [`${id} began to run ${Math.round(at - leftAt)} ms after its caller had left`]
                : [`${id} was at work for ${Math.round(endedAt - leftAt)} ms after its caller had left`];
        });
    }

    private createCaller(router: number): LeavingCaller {
        const id = `left-${this.callers.size}`;
        const caller = new LeavingCaller(id, `http://127.0.0.1:${this.ports[router]!}`, ACCOUNT.key);
        this.callers.set(id, caller);
        this.ids.add(id);
        return caller;
    }
}
