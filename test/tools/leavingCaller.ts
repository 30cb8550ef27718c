/** A caller with a connection of its own, which it closes when told, whatever has become of its request. */
import { connect, type Socket } from "node:net";

export class LeavingCaller {
    /** When it closed its connection. Monotonic clock, milliseconds. */
    leftAt = Infinity;
    received = "";
    private readonly socket: Socket;

    constructor(readonly id: string, url: string, private readonly key = "key-1") {
        const { hostname, port } = new URL(url);
        this.socket = connect({ host: hostname, port: Number(port), noDelay: true });
        this.socket.on("error", () => undefined);
        this.socket.on("data", (bytes: Buffer) => this.received += bytes.toString("latin1"));
    }

    send(path: string, deadlineMs: number, outputTokens = 25): void {
        const head = [
            `POST ${path} HTTP/1.1`,
            "Host: api.example",
            `Attempt-Id: ${this.id}`,
            `Credential: ${this.key}`,
            `Deadline-Ms: ${deadlineMs}`,
            `Token-Usage: 10,${outputTokens}`,
            "Content-Length: 2",
        ];
        this.socket.write(`${head.join("\r\n")}\r\n\r\n{}`);
    }

    /** Whether a whole answer without events has come. */
    hasAnswer(): boolean {
        return this.received.endsWith("answer") || this.received.includes("0\r\n\r\n");
    }

    isOpen(): boolean {
        return !this.socket.destroyed && !/connection: close/i.test(this.received);
    }

    leave(): void {
        this.leftAt = performance.now();
        this.socket.destroy();
    }
}
