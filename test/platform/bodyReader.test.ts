/** Guards against memory that stays reserved for a body that was not read to its end. */
import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import t from "tap";
import { readBody } from "../../platform/bodyReader.js";
import { BodyMemory } from "../../src/domain/bodyMemory.js";

const MAX_BYTES = 1_000_000;

function createFixture(contentLength: number) {
    const memory = new BodyMemory({ maxBytes: MAX_BYTES, maxUpstreamBytes: MAX_BYTES }, () => 0);
    const emitter = new EventEmitter();
    const message = Object.assign(emitter, {
        headers: { "content-length": String(contentLength) },
        complete: false,
        pause: () => emitter,
    });
    return { memory, message, reading: readBody(message as unknown as IncomingMessage, MAX_BYTES, memory) };
}

void t.test("a caller that leaves after its last byte, before the body was read to its end", async t => {
    const { memory, message, reading } = createFixture(3);
    message.emit("data", Buffer.from("abc"));
    message.complete = true;
    message.emit("close");
    t.equal(await reading, "gone");
    t.equal(memory.getHeldBytes(), 0);
});

void t.test("a body that is larger than allowed", async t => {
    const { memory, message, reading } = createFixture(MAX_BYTES + 1);
    message.emit("data", Buffer.alloc(MAX_BYTES + 1));
    t.equal(await reading, "tooLarge");
    t.equal(memory.getHeldBytes(), 0);
});

void t.test("a whole body keeps its memory until it is released, also after its connection has closed", async t => {
    const { memory, message, reading } = createFixture(3);
    message.emit("data", Buffer.from("abc"));
    message.emit("end");
    message.emit("close");
    const body = await reading;
    t.equal(memory.getHeldBytes(), 3);
    t.ok(typeof body === "object" && body.bytes.toString() === "abc");
    if (typeof body === "object") {
        body.reservation?.release();
    }
    t.equal(memory.getHeldBytes(), 0);
});
