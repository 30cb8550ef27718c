/** Arguments of Node.js that bring about signals and errors at a certain time of a process. */

/** Arguments of Node.js that run a script before the program. */
function preload(script: string): string[] {
    return ["--import", `data:text/javascript,${encodeURIComponent(script)}`];
}

/** The process sends itself a signal as it begins to listen for other processes. */
export function raiseWhileListening(signal: NodeJS.Signals): string[] {
    return preload(`
        import { Server } from "node:net";
        const { listen } = Server.prototype;
        Server.prototype.listen = function (...args) {
            Server.prototype.listen = listen;
            process.kill(process.pid, "${signal}");
            return listen.apply(this, args);
        };
    `);
}

/** The process sends itself SIGTERM as soon as it handles it. */
export const raiseWhileLoading = preload(`
    process.on("newListener", name => name === "SIGTERM" && setImmediate(() => process.kill(process.pid, "SIGTERM")));
`);
/** An uncaught error at SIGUSR2. */
export const throwAtSignal = preload("process.on('SIGUSR2', () => { throw new Error('injected'); });");
