/** Reads the platform's list of boxes over HTTP: `{"boxes":[{"name":"b1","state":"live"|"leaving"|"gone"}]}`. */
import { request } from "undici";
import * as z from "zod";
import { type BoxList, MembershipSource } from "../../ports/membership.js";

const TIMEOUT_MS = 2_000;

const listSchema = z.object({
    boxes: z.array(z.object({ name: z.string().max(63), state: z.enum(["live", "leaving", "gone"]) })).max(20_000),
});

export class HttpMembership extends MembershipSource {
    constructor(private readonly url: string) {
        super();
    }

    override async read(): Promise<BoxList> {
        const answer = await request(this.url, { headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS });
        const list = listSchema.parse(await answer.body.json());
        const select = (state: string): string[] =>
            list.boxes.filter(box => box.state === state).map(box => box.name).sort();
        return { leaving: select("leaving"), gone: select("gone") };
    }
}
