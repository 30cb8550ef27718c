/** A small TCP relay between processes that can be cut: silently, as a network is, or by closing. */
import { connect, createServer, type Server, type Socket } from "node:net";

export class CutRelay {
    private server: Server | undefined;
    private readonly pairs = new Set<readonly [Socket, Socket]>();
    private cut = false;

    constructor(private readonly targetPort: number) {}

    /** Listens; answers the port. */
    async start(): Promise<number> {
        this.server = createServer(socket => this.accept(socket));
        await new Promise<void>(resolve => this.server!.listen(0, "127.0.0.1", resolve));
        return (this.server.address() as { port: number; }).port;
    }

    /** Nothing passes any more, in either direction, and nobody is told. */
    cutSilently(): void {
        this.cut = true;
        for (const pair of this.pairs) {
            pair.forEach(socket => socket.pause());
        }
    }

    /** Connections that were cut are gone; new ones pass. */
    heal(): void {
        this.cut = false;
        this.closePairs();
    }

    stop(): void {
        this.server?.close();
        this.closePairs();
    }

    private closePairs(): void {
        for (const pair of this.pairs) {
            pair.forEach(socket => socket.destroy());
        }
        this.pairs.clear();
    }

    private accept(socket: Socket): void {
        const target = connect(this.targetPort, "127.0.0.1");
        const pair = [socket, target] as const;
        this.pairs.add(pair);
        for (const [from, to] of [[socket, target], [target, socket]] as const) {
            from.on("data", bytes => {
                if (!this.cut) {
                    to.write(bytes);
                }
            });
            from.on("error", () => undefined);
            from.on("close", () => {
                if (!this.cut) {
                    to.destroy();
                    this.pairs.delete(pair);
                }
            });
        }
    }
}
