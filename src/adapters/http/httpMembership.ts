/** Fetches the platform's list of boxes over HTTP: `{"boxes":[{"name":"b1","state":"live"|"leaving"|"gone"}]}`. */
import { request } from "undici";
import * as z from "zod";
import { type BoxList, MembershipSource } from "../../ports/membership.js";

const REQUEST_TIMEOUT_MS = 2_000;

const boxListSchema = z.object({
    boxes: z.array(z.object({ name: z.string().max(63), state: z.enum(["live", "leaving", "gone"]) })).max(20_000),
});

export class HttpMembership extends MembershipSource {
    constructor(private readonly url: string) {
        super();
    }

    override async read(): Promise<BoxList> {
        const response = await request(this.url, {
            headersTimeout: REQUEST_TIMEOUT_MS,
            bodyTimeout: REQUEST_TIMEOUT_MS,
        });
        const list = boxListSchema.parse(await response.body.json());
        const listNamesByState = (state: string): string[] =>
            list.boxes.filter(box => box.state === state).map(box => box.name).sort();
        return { leaving: listNamesByState("leaving"), gone: listNamesByState("gone") };
    }
}
